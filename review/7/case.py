"""The worker that runs a job's only task crashes, three times in half a minute; the task itself never fails."""
import asyncio, os, sys
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import bed as b

JOB = {"Spec": "accumulation", "Steps": [{"Count": 1, "Cpu": 3300, "MemMb": 12000, "EstimateMs": 8000, "Checkpointing": True}]}
ID = "00c0ffee7a21d94b"
CRASHES, WORK_S, RUN_S, DOWN_S = 3, 8.0, 4.0, 3.0


async def scenario(bed, trouble):
    bed.work_s = lambda task: WORK_S
    bed.configure([("r-accum", "/accum/", "quoting", {"Priority": 2, "Attempts": 3})], ["quoting"])
    for m in bed.members:
        m.launch()
    if not await bed.ready():
        return None
    await asyncio.sleep(3)
    status, _ = await bed.ask("POST", bed.members[0], "/accum/" + ID, JOB)
    if status != 200:
        return None
    for n in range(CRASHES if trouble else 0):
        for _ in range(150):
            if len(bed.starts) > n:
                break
            await asyncio.sleep(0.1)
        await asyncio.sleep(RUN_S)
        if len(bed.starts) <= n or bed.starts[-1]["end"] is not None:
            break
        worker = bed.starts[-1]["worker"]
        worker.crash()
        await asyncio.sleep(DOWN_S)
        worker.replace()
        await bed.ask("GET", bed.members[n % 3], "/accum/" + ID)
    broken = []
    for _ in range(20):
        await asyncio.sleep(1.5)
        status, body = await bed.ask("GET", bed.members[1], "/accum/" + ID)
        if "completed" in body:
            break
        if "failed" in body:
            ends = [s["how"] for s in bed.starts]
            if "failed" not in ends:
                broken.append("LOST the job is shown as failed; its runs ended: " + ", ".join(ends))
            break
    else:
        broken.append("LOST the job is not completed: %s" % body)
    return broken


b.run(HERE, scenario, members=3, workers=[("quoting", 10, 16000)])
