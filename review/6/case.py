"""A client's second POST of a job reaches a member after the job's queue has moved to another service."""
import asyncio, os, sys
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import bed as b

JOB = {"Spec": "premium", "Steps": [{"Count": 2, "Cpu": 3000, "MemMb": 4096, "EstimateMs": 5000}]}
SERVICES = ["quoting", "engineering"]
ID = "5c0e7a21d94b36f8"


async def scenario(bed, trouble):
    bed.work_s = lambda task: 6.0
    bed.configure([("r-quick", "/lohu930/", "quoting", {})], SERVICES)
    for m in bed.members:
        m.launch()
    if not await bed.ready():
        return None
    await asyncio.sleep(4)
    first, second = bed.members[0], bed.members[1]
    status, _ = await bed.ask("POST", first, "/lohu930/" + ID, JOB)
    if status != 200:
        return None
    for _ in range(80):
        if len(bed.starts) == 2:
            break
        await asyncio.sleep(0.1)
    if len(bed.starts) != 2:
        return None
    if trouble:
        bed.configure([("r-quick", "/lohu930/", "engineering", {})], SERVICES)
    await asyncio.sleep(2.5)
    await bed.ask("GET", second, "/lohu930/" + ID)
    # The client asks again, as it may: "such a request also arrives seconds after the 2xx response".
    await bed.ask("POST", second, "/lohu930/" + ID, JOB)
    await asyncio.sleep(12)
    await bed.ask("GET", second, "/lohu930/" + ID)
    return ["TWICE " + t for t in bed.twice()]


b.run(HERE, scenario, members=3, workers=[("quoting", 56, 16000), ("engineering", 56, 16000)])
