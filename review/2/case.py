"""LOST: a machine is stopped while clients that are slow to read still read their answers."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from stand_ins.case import BOUNDS, main
from stand_ins.engine import Engine, configuration, plain_service, route
from stand_ins.slow_client import send_and_read

# The figures of kit/more/system/demands/LATER.md for ktws-tagihan-grown.
GROWN_BOUNDS = dict(BOUNDS, contactMs=4000, ackMs=6000, catchUpS=6, drainMs=3000, configApplyMs=3000,
                    skewMaxMs=6000, budgetSlack=218, recoverS=15, transitMs=200, retryAfterS=4.8,
                    fencingRequired=False)
ZONES = ["semarang-a", "solo-b"]
GRACE_S = GROWN_BOUNDS["graceS"]
ANSWER_BYTES = 600_000
READING_S = 7.0
DEADLINE_MS = 10_000
CLIENTS = 8


async def watch_exit(machine, stopped_at, record):
    """Waits for the end of the process; the platform kills it at the end of the grace period."""
    try:
        await asyncio.wait_for(machine.process.wait(), GRACE_S)
    except asyncio.TimeoutError:
        await machine.kill()
    after_s = time.monotonic() - stopped_at
    record("exited", machine=machine.name, code=machine.process.returncode, after_sigterm_s=f"{after_s:.2f}")
    print(f"the process exited {after_s:.1f} s after SIGTERM, of {GRACE_S} s that it has")


async def case(deployment, record, trouble):
    store = deployment.store
    engines = [deployment.add_engine(Engine, f"i-{number}", "kasir-app", zone)
               for number, zone in enumerate(ZONES, 1)]
    for engine in engines:
        engine.answer_bytes = ANSWER_BYTES
        await engine.start()
        engine.write_entry(store)
    routes = [route("payment-post", "unsafe", "kasir-app", DEADLINE_MS, 150)]
    store.put_json("op/config", configuration(1, routes, [plain_service("kasir-app")]))
    await deployment.start_machines(ZONES, GROWN_BOUNDS)

    machine = deployment.machines[0]
    readers = [asyncio.ensure_future(send_and_read(machine.ip, machine.port, "/payment-post/1", DEADLINE_MS,
                                                   ANSWER_BYTES / READING_S, record))
               for _ in range(CLIENTS)]
    await asyncio.sleep(0.2)
    stopped_at = time.monotonic()
    if trouble:
        machine.signal(signal.SIGTERM)
        record("sigterm", machine=machine.name)
        exit_watch = asyncio.ensure_future(watch_exit(machine, stopped_at, record))
    answers = await asyncio.gather(*readers)
    if trouble:
        await exit_watch

    answered = {request for engine in engines for _at, request in engine.runs}
    lost = []
    for answer in answers:
        in_time = answer.ended < answer.sent + DEADLINE_MS / 1000
        in_grace = answer.ended < stopped_at + GRACE_S + 1
        if answer.request_id in answered and not answer.is_whole and in_time and in_grace:
            lost.append(answer)
            record("lost", request=answer.request_id, got=answer.got, length=answer.length,
                   after_sigterm_s=f"{answer.ended - stopped_at:.2f}")
    whole = sum(answer.is_whole for answer in answers)
    print(f"requests: {len(answers)}; whole answers: {whole}; closed with part of the answer of their engine, "
          f"before their deadline and within the grace period: {len(lost)}")
    return not lost


main(FOLDER, case)
