"""Clients post a document whose text holds an HTTP request. The outer request
states its length by a transfer coding that isn't chunked."""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-2"))
from fleet import *  # noqa: E402,F403

# Each names a coding whose end isn't told by chunks.
CODINGS = ["identity", "chunked, identity", "xchunked", "gzip"]
ANSWER_LIMIT_S = 2


class Orders(Worker):
    runs = []  # (attempt id, method, target)

    async def run(self, m, reader, writer):
        Orders.runs.append((m.get("X-Attempt-Id"), m.method, m.target))
        return await super().run(m, reader, writer)


def make_workers(store, record):
    return [Orders(store, record, "i-orders-%d" % i, "orders") for i in range(3)]


async def post(port, raw):
    """Sends the bytes and returns all that the gateway answers."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(raw)
    out = b""
    try:
        while True:
            data = await asyncio.wait_for(reader.read(65536), ANSWER_LIMIT_S)
            if not data:
                break
            out += data
    except (asyncio.TimeoutError, ConnectionError):
        pass
    writer.close()
    return out


async def main(record, scratch, trouble):
    fleet = Fleet(record, scratch)
    asked = {}  # id of each request that a client sent
    inside = {}  # id that stands in the text of a document
    try:
        await fleet.start(make_workers, gateways=2)
        for round_ in range(4):
            for coding in CODINGS:
                outer, inner = attempt_id(), attempt_id()
                asked[outer], inside[inner] = coding, coding
                lines = headers(inner, 1000)
                text = encode("POST /o/copied HTTP/1.1",
                              [("Host", "shop.example")] + list(lines.items()))
                fields = [("Host", "shop.example")] + list(headers(outer, 1000).items())
                if trouble:
                    fields.append(("Transfer-Encoding", coding))
                    raw = encode("POST /o/document HTTP/1.1", fields, text, length=False)
                else:
                    raw = encode("POST /o/document HTTP/1.1", fields, text)
                port = fleet.gateways[round_ % 2].caller_port
                answer = await post(port, raw)
                record("document %s (%s) holds the text of %s; answers: %s" % (
                    outer, coding if trouble else "length", inner,
                    [line.decode() for line in answer.split(b"\r\n")
                     if line.startswith(b"HTTP/1.1") or b"HTTP/1.1 " in line]))
    finally:
        fleet.end()
    if not trouble and len([r for r in Orders.runs if r[0] in asked]) != len(asked):
        raise CannotRun("documents are not served without the disruption")
    broken = []
    for attempt, method, target in Orders.runs:
        if attempt not in asked:
            broken.append("UNASKED: a worker ran %s %s with the id %s, which stood in the "
                          "body of another request (Transfer-Encoding: %s)"
                          % (method, target, attempt, inside.get(attempt)))
    return broken


run_script(main)
