"""Two of twelve model workers turn requests away with 503 and Retry-After, and
take 0.6 s for it."""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "..", "standins-2"))
from fleet import *  # noqa: E402,F403

ANSWER_AFTER_S = float(os.environ.get("ANSWER_AFTER", "0.6"))
RETRY_AFTER_S = 10
TRAFFIC_S = 22
TROUBLE_AFTER_S = 2
PER_S = 25
SHEET_STAGES = ["prefill"] * 3 + ["decode"] * 9


class Full(Engine):
    full = False

    def __init__(self, *args, **kw):
        super().__init__(*args, **kw)
        self.arrivals = []
        self.first_refusal = None

    async def run(self, m, reader, writer):
        if not self.full:
            return await super().run(m, reader, writer)
        attempt = m.get("X-Attempt-Id")
        self.arrivals.append(now())
        self.record("%s reaches %s" % (attempt, self.name))
        await asyncio.sleep(ANSWER_AFTER_S)
        self.first_refusal = self.first_refusal or now()
        self.record("worker %s answers %s: 503, Retry-After" % (self.name, attempt))
        left = self.first_refusal + RETRY_AFTER_S - now()
        more = [("Retry-After", "%.3f" % left)] if left > 0.5 else []
        return await self.refuse(m, writer, 503, more)


async def main(record, scratch, trouble):
    fleet = Fleet(record, scratch)
    results = {}

    async def ask(path):
        attempt = attempt_id()
        more = {"X_Model": "m", "X_Token_Counts": "860,70",
                "X_Prompt_Prefix": "5c1e07a2:200,%s:660" % attempt[:8]}
        client = Client(fleet.gateways[0].caller_port)
        try:
            m = await client.send("POST", path, headers(attempt, 14000, **more), b"x" * 200, 14)
        except asyncio.TimeoutError:
            m = None
        client.close()
        results[attempt] = m.status if m and m.complete else 0
        record("request %s: %s" % (attempt, results[attempt]))

    try:
        await fleet.start(
            lambda store, record: [
                Full(store, record, "i-%s-%d" % (stage, i), "assistant", stage=stage, slots=64)
                for i, stage in enumerate(SHEET_STAGES)],
            gateways=1)
        tasks, start, sent = [], now(), 0
        while now() - start < TRAFFIC_S:
            if trouble and now() - start > TROUBLE_AFTER_S:
                for w in fleet.workers[:2]:
                    w.full = True
            if sent < (now() - start) * PER_S:
                sent += 1
                tasks.append(asyncio.create_task(ask("/g/2f" if sent % 2 else "/n/2f")))
            await asyncio.sleep(0.005)
        await asyncio.gather(*tasks)
    finally:
        fleet.end()
    if not trouble and set(results.values()) != {200}:
        raise CannotRun("requests fail without the disruption")
    broken = []
    for w in fleet.workers[:2]:
        if w.first_refusal is None:
            continue
        late = [t - w.first_refusal for t in w.arrivals
                if 0.5 < t - w.first_refusal < RETRY_AFTER_S]
        record("%s: arrivals in its pause, seconds after its first answer: %s"
               % (w.name, ["%.2f" % t for t in late]))
        if len(late) > 2:
            broken.append("BUDGET: %d requests reached %s between half a second after its 503 "
                          "with Retry-After and the end of that time (2 are allowed)"
                          % (len(late), w.name))
    return broken


run_script(main)
