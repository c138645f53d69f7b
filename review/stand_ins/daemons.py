"""Starts ponddrift-serve as deploy/system.toml and deploy/serve.toml.template say."""

import asyncio
import json
import os
import re
import shlex
import signal
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))

TOKEN = re.compile(r"\{\{([#^/]?)([^}|]*)(\|json)?\}\}")


def _look_up(name, scopes):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def _text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(_text(entry) for entry in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def fill(template, scopes):
    """Fills a template as DEPLOY.md says."""
    output, position = [], 0
    while (match := TOKEN.search(template, position)) is not None:
        output.append(template[position:match.start()])
        sign, name, as_json = match.groups()
        position = match.end()
        if sign in ("#", "^"):
            end = template.index("{{/" + name + "}}", position)
            inner = template[position:end]
            position = end + len("{{/" + name + "}}")
            value = _look_up(name, scopes)
            if sign == "^":
                output.append(fill(inner, scopes) if value in (None, False) else "")
            elif isinstance(value, list):
                for index, entry in enumerate(value):
                    comma = "" if index == len(value) - 1 else ","
                    output.append(fill(inner.replace("{{,}}", comma), scopes + [entry]))
            elif value not in (None, False):
                output.append(fill(inner, scopes + [value]))
        else:
            value = _look_up(name, scopes)
            output.append(json.dumps(value) if as_json else _text(value))
    output.append(template[position:])
    return "".join(output)


class Machine:
    """A machine that runs one ponddrift-serve."""

    def __init__(self, number, zone, folder, addresses, store_address, bounds, limits, contracts):
        self.name = f"frontend-{zone}-{number}"
        self.zone = zone
        self.folder = folder
        self.ip = addresses.machine()
        self.port = addresses.port(self.ip)
        self.readiness_port = addresses.port(self.ip)
        self.process = None
        self.bootstrap = True
        self.starts = 0
        self.log_path = os.path.join(folder, f"{self.name}.log")
        self.settings = {
            "node": self.name, "role": "serve", "machineClass": "frontend",
            "serves": ["frontend", "control"], "ip": self.ip, "zone": zone, "region": "r",
            "listen": {"frontend": f"{self.ip}:{self.port}",
                       "readiness": f"{self.ip}:{self.readiness_port}",
                       "control": f"{self.ip}:{addresses.port(self.ip)}"},
            "internalPorts": [addresses.port(self.ip), addresses.port(self.ip)],
            "seeds": [], "countsAsLoss": False, "limits": limits, "dataDir": None,
            "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
            "contracts": contracts, "bounds": bounds,
            "platform": {"address": store_address, "form": "kv", "writes_per_s": 400,
                         "reads_per_s": 2000, "historyS": 20, "value_bytes": 1048576,
                         "ttl_min_ms": 1000},
        }

    async def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["serve"]
        with open(os.path.join(ROOT, role["template"])) as file:
            template = file.read()
        settings = dict(self.settings, bootstrap=self.bootstrap)
        path = os.path.join(self.folder, f"{self.name}.toml")
        with open(path, "w") as file:
            file.write(fill(template, [settings]))
        self.bootstrap = False
        self.starts += 1
        command = shlex.split(role["run"])
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["PONDDRIFT_NODE_FILE"] = path
        log = open(self.log_path, "a")
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, command[0]), *command[1:], cwd=ROOT, env=environment,
            stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def resident_mb(self):
        """Resident memory in MB, as the platform measures it; 0 if the process is gone."""
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0
