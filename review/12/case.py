"""Jobs of a service that is added to a fleet of over 100 workers: a part of them never starts."""
import asyncio, os, sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
from bed3 import *

TRAFFIC_S, FINISH_S, WINDOW_S, GAP_S = 20.0, 14.0, 3.0, 0.5
CAPACITY = {"Cpu": 16000, "MemMb": 65536, "Gpu": 0}


async def case():
    bed = Bed(FOLDER)
    try:
        return await play(bed)
    finally:
        await bed.close()


async def play(bed):
    for n in range(60):
        bed.workers.append(Worker(bed, "q-%d" % n, "quoting", bed.zones[n % 3], ["a", "q%d" % (n // 5)], CAPACITY))
    for n in range(44):
        bed.workers.append(Worker(bed, "e-%d" % n, "engineering", bed.zones[n % 3], ["a", "e%d" % (n // 5)], CAPACITY))
    added = [Worker(bed, "n-%d" % n, "mapping", bed.zones[n % 3], ["a", "n0"], CAPACITY) for n in range(5)]
    if not TROUBLE:
        # The service is there from the beginning.
        bed.workers += added
    routes = [route("quick", "quoting"), route("check", "engineering")]
    maps = route("maps", "mapping")
    bed.configure(routes if TROUBLE else routes + [maps])
    if not await bed.start(3):
        return 2
    await asyncio.sleep(5)
    if TROUBLE:
        for worker in added:
            bed.workers.append(worker)
            await worker.start()
        bed.configure(routes + [maps])
    await asyncio.sleep(5)
    job = {"Spec": json.dumps([{"ms": 1000}]), "Steps": [{"Count": 1, "Cpu": 1000, "MemMb": 1024, "EstimateMs": 1000}]}
    begin, sent = now(), []
    while now() - begin < TRAFFIC_S:
        sent.append(asyncio.ensure_future(bed.submit(maps, job)))
        sent.append(asyncio.ensure_future(bed.submit(routes[0], job)))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*sent)
    bed.record("end of the traffic")
    await asyncio.sleep(FINISH_S)
    # LOST: for 3 s a job has nothing running, with capacity for it twice over and under half of the service in use.
    accepted = [n for n, j in bed.jobs.items() if j["accepted"] is not None]
    idle, roomy = set(accepted), True
    end = now() + WINDOW_S
    while now() < end:
        for worker in bed.workers:
            idle -= {task.split(".")[0] for task in worker.runs}
        used = [w.used()["Cpu"] for w in added]
        roomy &= sum(used) * 2 < 16000 * len(used) and all(w.up for w in added)
        await asyncio.sleep(0.03)
    lost = []
    for number in sorted(idle):
        state = await bed.state(number)
        if state not in ("completed", "failed", "cancelled"):
            lost.append(number)
            bed.record("LOST", number, bed.jobs[number]["Route"]["Name"], "state", state, "and nothing running for 3 s")
    print(len(accepted), "jobs accepted, half of them of the added service;", len(lost), "wait with nothing running for 3 s, 14 s after the end of the traffic; room for them:", roomy)
    if len(accepted) < 60:
        return 2
    return 1 if lost and roomy else 0


main(case)
