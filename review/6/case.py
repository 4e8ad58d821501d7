"""A part of prompts crashes each worker that begins to write an answer on it:
the worker goes down as soon as its first write, the head and two events, is
out. It is back after 3 s."""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-2"))
from fleet import *  # noqa: E402,F403

POISON = "dead0001"
EVENTS_BEFORE_CRASH = int(os.environ.get("EVENTS", "2"))
BACK_AFTER_S = 3
TRAFFIC_S = 30
SOUND_PER_S = 10
POISON_PER_S = 5


class Crashing(Engine):
    crashes = []  # times
    arrivals = []  # times at which requests with the part reached a worker

    async def stream(self, m, writer):
        if POISON not in m.get("X-Prompt-Prefix"):
            return await super().stream(m, writer)
        Crashing.arrivals.append(now())
        self.record("the part reaches %s with %s" % (self.name, m.get("X-Attempt-Id")))
        first = int(m.get("Last-Event-Id") or 0) + 1
        events = b"".join(
            self.event(number, m) for number in range(first, first + EVENTS_BEFORE_CRASH))
        await self.begin_stream(m, writer, events)
        await asyncio.sleep(0.01)
        if not self.server:  # it has crashed under another one meanwhile
            return False
        Crashing.crashes.append(now())
        self.crash("under " + m.get("X-Attempt-Id"))
        asyncio.get_running_loop().create_task(self.come_back())
        return False

    async def come_back(self):
        await asyncio.sleep(BACK_AFTER_S)
        await self.start()


def make_workers(store, record):
    stages = ["prefill"] * 3 + ["decode"] * 9
    return [
        Crashing(store, record, "i-%s-%d" % (stage, i), "assistant", stage=stage, slots=64)
        for i, stage in enumerate(stages)
    ]


async def main(record, scratch, trouble):
    fleet = Fleet(record, scratch)
    began = {"sound": [], "poison": []}  # (time sent, whether it began)

    async def ask(kind):
        attempt = attempt_id()
        parts = ["5c1e07a2:200", "91bd3f06:410", attempt[:8] + ":250"]
        if kind == "poison":
            parts.insert(1, POISON + ":410")
        more = {"X_Model": "m", "X_Token_Counts": "%d,70" % (860 if kind == "sound" else 1270),
                "X_Prompt_Prefix": ",".join(parts)}
        client = Client(random.choice(fleet.gateways).caller_port)
        sent = now()
        try:
            m = await client.send(
                "POST", "/g/2f", headers(attempt, 14000, **more), b"x" * 200, 14)
        except asyncio.TimeoutError:
            m = None
        client.close()
        result = "%d, %d events, %s" % (
            m.status, m.body.count(b"id: "), "whole" if m.complete else "cut") if m else "none"
        record("%s request %s, sent at %.3f: %s" % (kind, attempt, sent, result))
        began[kind].append((sent, bool(m) and m.status == 200 and b"id: " in m.body))

    try:
        await fleet.start(make_workers, gateways=2)
        tasks, start = [], now()
        sent = {"sound": 0, "poison": 0}
        rates = {"sound": SOUND_PER_S, "poison": POISON_PER_S if trouble else 0}
        while now() - start < TRAFFIC_S:
            for kind, rate in rates.items():
                if sent[kind] < (now() - start) * rate:
                    sent[kind] += 1
                    tasks.append(asyncio.create_task(ask(kind)))
            await asyncio.sleep(0.02)
        await asyncio.gather(*tasks)
    finally:
        fleet.end()

    crashes, broken = Crashing.crashes, []
    record("%d crashes; the part reached workers %d times" % (len(crashes), len(Crashing.arrivals)))
    if len(crashes) >= 5:
        late = [t for t in Crashing.arrivals if t > crashes[4] + STABLE_WINDOW_S]
        if len(late) > 3:
            broken.append("BUDGET: %d requests with the part reached workers later than "
                          "stable_window_ms after the fifth crash (3 are allowed)" % len(late))
        of = [ok for sent, ok in began["sound"] if sent > crashes[4] + 2 * STABLE_WINDOW_S]
        record("of %d sound requests sent after 2 x stable_window_ms, %d began" % (len(of), sum(of)))
        if len(of) >= 20 and sum(of) < len(of) / 2:
            broken.append("LOST: %d of %d sound requests began" % (sum(of), len(of)))
    elif not trouble and not all(ok for _, ok in began["sound"]):
        raise CannotRun("sound requests fail without the disruption")
    return broken


run_script(main)
