"""Workers are restarted one after the other: each drains, exits, and starts again under the id that it had."""
import asyncio, os, random, sys, time
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import bed as b

STEP = {"Count": 1, "Cpu": 3300, "MemMb": 12000, "EstimateMs": 1000}
DRAIN_S, DOWN_S, GAP_S, WAIT_S = 2.3, 1.0, 1.0, 30


async def scenario(bed, trouble):
    rng = random.Random(3)
    some = bed.workers[:4]
    for w in bed.workers:
        w.born = int(time.time() * 1000)
        w.kind = "b" if w in some else "a"
        bed.store.put("servers/" + w.id, w.entry())
    bed.work_s = lambda task: 1.0
    bed.configure([("r-accum", "/accum/", "quoting", {})], ["quoting"])
    for m in bed.members:
        m.launch()
    if not await bed.ready():
        return None
    await asyncio.sleep(3)

    async def submit(more):
        job = "%016x" % rng.getrandbits(64)
        status, _ = await bed.ask("POST", rng.choice(bed.members), "/accum/" + job, {"Spec": "run", "Steps": [{**STEP, **more}]})
        return job if status == 200 else None
    if None in [await submit({"Requires": "b"}) for _ in range(4)]:
        return None
    await asyncio.sleep(3)
    if len(bed.starts) != 4:
        return None
    for w in some:
        if trouble:
            w.drain()
        await asyncio.sleep(DRAIN_S)
        if trouble:
            w.exit()
        await asyncio.sleep(DOWN_S)
        if trouble:
            w.restart()
        await asyncio.sleep(GAP_S)
    # All is calm: the restarted workers are ready and idle, and have been listed for a while.
    await asyncio.sleep(8)
    jobs = [await submit({"Requires": "b"}) for _ in range(3)] + [await submit({})]
    if None in jobs:
        return None
    await asyncio.sleep(WAIT_S)
    broken = []
    for job in jobs:
        await bed.ask("GET", bed.members[0], "/accum/" + job)
        if not any(s["task"].startswith(job) for s in bed.starts):
            broken.append("LOST job %s has had nothing running for %d s; %d workers that may run it are ready and idle" % (job, WAIT_S, len(some)))
    return broken


b.run(HERE, scenario, members=3, workers=[("quoting", 10, 16000)])
