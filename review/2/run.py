"""TWICE: over 500 runs end on a worker while the platform's store is down for 4.5 s."""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))
from platform_standin import Play, config, now, route  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOBS, TASKS = 25, 84
SECONDS = (5.0, 8.0)
DOWN_S = 4.5


async def main():
    play = Play(HERE)
    length = {}

    def lengths(task, run):
        # How long a task works depends on the task alone.
        length.setdefault(task, random.uniform(*SECONDS))
        return length[task], "done"

    play.lengths = lengths
    try:
        await play.start(config(7, [route("batch", "quoting")], [{"Name": "quoting"}]),
                         [("quoting", 3, {"Cpu": 16000, "MemMb": 65536, "Gpu": 0})])
        await asyncio.sleep(3)
        ids = [f"{random.getrandbits(64):016x}" for _ in range(JOBS)]
        step = {"Count": TASKS, "Cpu": 20, "MemMb": 32, "EstimateMs": 6500}

        async def hand_in(number, job):
            await asyncio.sleep(number * 0.1)
            return await play.submit(f"/batch/{job}", "batch.example", {"Spec": "sum", "Steps": [step]})

        taken = await asyncio.gather(*(hand_in(n, i) for n, i in enumerate(ids)))
        if not all(taken):
            print("not all jobs were accepted")
            return 2
        end = now() + 3.0
        while len(play.runs) < JOBS * TASKS and now() < end:
            await asyncio.sleep(0.05)
        print(f"{now():.1f} s: {len(play.runs)} tasks have started")
        while not any(w.ended or w.last_end for w in play.workers):
            await asyncio.sleep(0.05)
        if TROUBLE:
            play.record.line(f"the store is down for {DOWN_S} s")
            play.store.silent = True
            await asyncio.sleep(DOWN_S)
            most = max(len(w.ended) for w in play.workers)
            play.store.silent = False
            play.record.line(f"the store is up; ends that a worker still lists: {most} at most")
            print("ends that a worker still lists, at most:", most)
        states = await asyncio.gather(*(
            play.wait_state(f"/batch/{i}", "batch.example", ("completed", "failed"), 40) for i in ids))
        await asyncio.sleep(3)
        print("states:", {str(s): states.count(s) for s in states})
        # TWICE: a start after a run has ended `done`, if that end is taken note of then or later; or two
        # runs at the same time on workers that are up.
        twice = both = 0
        for task, runs in play.runs.items():
            for a in runs:
                for b in runs:
                    if a is b:
                        continue
                    late = a["how"] == "done" and a["noted"] and b["begun"] > a["ended"]
                    if late:
                        twice += 1
                        play.record.line(f"TWICE {task}: run {a['run']} at {a['worker']} ended done at "
                                         f"{a['ended']:.3f}, noted at {a['noted']:.3f}; run {b['run']} "
                                         f"began at {b['begun']:.3f} at {b['worker']}")
                    if a["begun"] < b["begun"] and (a["ended"] is None or a["ended"] > b["begun"]):
                        both += 1
                        play.record.line(f"TWICE {task}: two runs at the same time")
        print(f"tasks started again after an end 'done' that was noted: {twice}; two runs at once: {both}")
        return 1 if twice or both else 0
    except RuntimeError as e:
        print(e)
        return 2
    finally:
        await play.finish()


sys.exit(asyncio.run(main()))
