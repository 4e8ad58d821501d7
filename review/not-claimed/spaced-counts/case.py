"""One tenant sends several times its quota. Its client writes the two numbers of
X-Token-Counts as a list with a space behind the comma."""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "..", "standins-2"))
from fleet import *  # noqa: E402,F403

PROMPT, OUTPUT = 3000, 70
PER_S = 60
TRAFFIC_S = 14
WINDOW_S = 8
LIMIT = (RATE * WINDOW_S + RATE) * (1 + BOUNDS["quota_overage"]) + BOUNDS["quota_slack_tokens"]


class Counting(Engine):
    runs = []  # (time, tokens, id)

    async def stream(self, m, writer):
        tokens = sum(int(n) for n in m.get("X-Token-Counts").split(","))
        Counting.runs.append((now(), tokens, m.get("X-Attempt-Id")))
        return await super().stream(m, writer)


def make_workers(store, record):
    stages = ["prefill"] * 3 + ["decode"] * 9
    return [
        Counting(store, record, "i-%s-%d" % (stage, i), "assistant", stage=stage, slots=64)
        for i, stage in enumerate(stages)
    ]


async def main(record, scratch, trouble):
    fleet = Fleet(record, scratch)
    sent_at, statuses = {}, {}

    async def ask():
        attempt = attempt_id()
        counts = ("%d, %d" if trouble else "%d,%d") % (PROMPT, OUTPUT)
        more = {"X_Model": "m", "X_Token_Counts": counts,
                "X_Prompt_Prefix": "5c1e07a2:200,%s:%d" % (attempt[:8], PROMPT - 200)}
        client = Client(random.choice(fleet.gateways).caller_port)
        sent_at[attempt] = now()
        try:
            m = await client.send("POST", "/g/2f", headers(attempt, 14000, **more), b"x" * 200, 14)
        except asyncio.TimeoutError:
            m = None
        client.close()
        status = m.status if m else 0
        statuses[status] = statuses.get(status, 0) + 1
        record("request %s (X-Token-Counts: %s), sent at %.3f: %s"
               % (attempt, counts, sent_at[attempt], status))

    try:
        await fleet.start(make_workers, gateways=2)
        tasks, start = [], now()
        while now() - start < TRAFFIC_S:
            if len(tasks) < (now() - start) * PER_S:
                tasks.append(asyncio.create_task(ask()))
            await asyncio.sleep(0.003)
        await asyncio.gather(*tasks)
    finally:
        fleet.end()
    record("answers by status: %s" % statuses)
    if not statuses.get(200):
        raise CannotRun("no request is served")
    most = 0
    for begin in sent_at.values():  # both sent and arrived in the window
        most = max(most, sum(
            tokens for at, tokens, attempt in Counting.runs
            if at < begin + WINDOW_S and sent_at.get(attempt, 0) >= begin))
    record("most tokens in %d s: %d, the limit with its tolerance is %d" % (WINDOW_S, most, LIMIT))
    if most > LIMIT:
        return ["QUOTA: %d tokens of the tenant ran in %d s, %d are allowed"
                % (most, WINDOW_S, LIMIT)]
    return []


run_script(main)
