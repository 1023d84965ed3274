"""A job was accepted; its queue moves to another service before the turn of the job's second step has come."""
import asyncio, os, sys
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import bed as b

STEP = {"Count": 2, "Cpu": 3000, "MemMb": 4096, "EstimateMs": 3000}
JOB = {"Spec": "premium", "Steps": [STEP, {**STEP, "After": [0]}]}
SERVICES = ["quoting", "engineering"]
ID = "5c0e7a21d94b36f8"
WAIT_S = 30


async def scenario(bed, trouble):
    bed.work_s = lambda task: 4.0
    bed.configure([("r-quick", "/lohu930/", "quoting", {})], SERVICES)
    for m in bed.members:
        m.launch()
    if not await bed.ready():
        return None
    await asyncio.sleep(4)
    member = bed.members[0]
    status, _ = await bed.ask("POST", member, "/lohu930/" + ID, JOB)
    if status != 200:
        return None
    await asyncio.sleep(1)
    if len(bed.starts) != 2:
        return None
    if trouble:
        bed.configure([("r-quick", "/lohu930/", "engineering", {})], SERVICES)
    # The first step ends 4 s after the job was accepted; the machines are calm, the workers idle.
    answers = []
    for _ in range(WAIT_S // 3):
        await asyncio.sleep(3)
        answers.append(await bed.ask("GET", bed.members[len(answers) % 3], "/lohu930/" + ID))
    broken = []
    if sum(1 for s in bed.starts if ".0.1." in s["task"]) == 0:
        broken.append("LOST a task's turn came %d s ago, all workers are idle, and the job has nothing running" % (WAIT_S - 4))
    gone = sum(1 for status, _ in answers if status == 410)
    if gone:
        broken.append("LOST %d of %d GETs for the accepted job were answered 410" % (gone, len(answers)))
    return broken


b.run(HERE, scenario, members=3, workers=[("quoting", 56, 16000), ("engineering", 56, 16000)])
