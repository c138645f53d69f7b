"""What the scripts of the cases share: a small deployment, its record and its exit code."""

import asyncio
import os
import shutil
import signal
import sys
import tempfile
import time
import traceback

from .daemons import ROOT, Machine
from .net import Addresses
from .proxy import Proxy
from .store import Store

BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
TIME_LIMIT_S = 110

# The figures of kit/more/system/SYSTEM.md for hanbit-ledger.
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
          "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
          "rollbackSlackMs": 250, "skewMaxMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
          "budgetSlack": 54, "recoverS": 12, "transitMs": 120, "retryAfterS": 8.5,
          "fencingRequired": True, "leaseMs": 3000, "thawMs": 300}
LIMITS = {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "platform"]
START_S = 5.0


class Record:
    """The record of a run: one line for each thing that was sent, answered, run or done."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.lines = []
        self.path = path

    def __call__(self, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append((time.monotonic(), f"{event} {text}"))

    def write(self):
        with open(self.path, "w") as file:
            for at, line in sorted(self.lines, key=lambda line: line[0]):
                file.write(f"{at - self.began:9.3f} {line}\n")


class Deployment:
    """The store, the machines behind a proxy each, and whatever engines a case adds."""

    def __init__(self, record):
        self.record = record
        self.addresses = Addresses()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.machines = []
        self.proxies = []

    async def start_store(self):
        ip = self.addresses.machine()
        port = self.addresses.port(ip)
        await self.store.start(ip, port)
        self.store_address = (ip, port)

    async def start_machines(self, zones, bounds=None):
        for number, zone in enumerate(zones, 1):
            proxy = Proxy(*self.store_address)
            ip = self.addresses.machine()
            port = self.addresses.port(ip)
            await proxy.start(ip, port)
            machine = Machine(number, zone, self.folder, self.addresses, f"{ip}:{port}",
                              bounds or BOUNDS, LIMITS, CONTRACTS)
            self.proxies.append(proxy)
            self.machines.append(machine)
        for machine in self.machines:
            await machine.start()
            self.record("started", machine=machine.name)
        await asyncio.sleep(START_S)
        for machine in self.machines:
            if machine.process.returncode is not None:
                raise RuntimeError(f"{machine.name} ended by itself at its start")

    def add_engine(self, engine_type, identity, service, zone, **options):
        ip = self.addresses.machine()
        engine = engine_type(identity, service, zone, ip, self.addresses.port(ip), **options)
        engine.record = self.record
        return engine

    async def end(self):
        for machine in self.machines:
            await machine.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case_folder, case):
    """Runs `case(deployment, record, trouble)`, which returns whether the rule held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(case_folder, "record.txt"))
    try:
        code = asyncio.run(_run(case, record, trouble))
    except BaseException:
        traceback.print_exc()
        code = COULD_NOT_RUN
    record.write()
    sys.exit(code)


async def _run(case, record, trouble):
    asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    if not os.path.exists(os.path.join(ROOT, "target", "release", "ponddrift-serve")):
        raise RuntimeError("target/release/ponddrift-serve is missing: build it as deploy/system.toml says")
    deployment = Deployment(record)
    try:
        await deployment.start_store()
        held = await asyncio.wait_for(case(deployment, record, trouble), TIME_LIMIT_S)
    finally:
        await asyncio.shield(deployment.end())
    print("the rule held" if held else "THE RULE WAS BROKEN")
    return HELD if held else BROKEN
