"""Stand-in of the platform for the scripts in review/: settings from the templates of the deploy file, processes,
the operator's HTTP calls and the record of a run. All addresses are loopback addresses."""

import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Bounds of the small deployment lcbs-platform.
BOUNDS = {
    "SeedLagS": 3,
    "AddrReuseS": 2,
    "StabilityWindowMs": 4000,
    "AckTimeoutMs": 5000,
    "CatchUpS": 4,
    "DrainMs": 3000,
    "GraceS": 6,
    "LossSlackMs": 200,
    "ConfigApplyMs": 3000,
    "RollbackSlackMs": 250,
    "OuterMs": 12000,
    "RecoveryS": 12,
    "FlowReorderMs": 2000,
    "FlowMaxS": 60,
}
HEARTBEAT_MS = 1200
ZONES = ("apapa", "ikeja", "lekki")
CONTROL_PORT, READY_PORT, PACKET_PORT, METRICS_PORT, INTERNAL_PORTS = 8166, 8167, 8172, 9464, (7720, 7735)


class CannotRun(Exception):
    """The case could not be played: exit code 2."""


class Record:
    """Writes what happened, with the time since the start, to the file that run.sh names."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
            self.file.flush()


def deploy_roles():
    """Reads run command and template of each role from deploy/system.toml."""
    roles, role = {}, None
    with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as file:
        for line in file:
            if match := re.match(r"\[roles\.(\S+)\]", line):
                role = roles.setdefault(match[1], {})
            elif role is not None and (match := re.match(r'(\w+)\s*=\s*"(.*)"', line)):
                role[match[1]] = match[2]
    return roles


def render(template, fields):
    """Fills in the placeholders {{a}}, {{a.b}}, {{a.0}} and {{a|json}} of a template."""

    def value(match):
        path, _, form = match[1].partition("|")
        found = fields
        for part in path.split("."):
            found = found[int(part)] if isinstance(found, (list, tuple)) else found.get(part)
        if form == "json":
            return json.dumps(found)
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.|]+)\}\}", value, template)


def pick_network():
    """Returns a prefix 127.x.y on which the ports of a deployment are free."""
    for _ in range(50):
        prefix = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        try:
            for port in (CONTROL_PORT, READY_PORT, METRICS_PORT, *range(INTERNAL_PORTS[0], INTERNAL_PORTS[0] + 3)):
                with socket.socket() as probe:
                    probe.bind((f"{prefix}.11", port))
            return prefix
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


class Machine:
    """One machine with one process of the system."""

    def __init__(self, platform, name, role, ip, zone, bootstrap):
        self.platform, self.name, self.role, self.ip, self.zone = platform, name, role, ip, zone
        self.bootstrap = bootstrap
        self.data = os.path.join(platform.folder, name + "-data") if role == "lw-control" else None
        self.child = None
        self.started_at = None
        self.expected_end = False
        self.own_ends = []

    def settings(self):
        return {
            "NodeName": self.name,
            "Role": self.role,
            "Ip": self.ip,
            "Zone": self.zone,
            "ListenAddrs": {
                "PacketAddr": f"{self.ip}:{PACKET_PORT}",
                "Ready": f"{self.ip}:{READY_PORT}",
                "ControlPlane": f"{self.ip}:{CONTROL_PORT}",
            },
            "InternalPortRange": INTERNAL_PORTS,
            "Seeds": [f"{ip}:{CONTROL_PORT}" for ip in self.platform.seeds],
            "Bootstrap": self.bootstrap,
            "DataDir": self.data,
            "HeartbeatMs": HEARTBEAT_MS,
            "FaultTolerance": {"Machines": 1, "Zones": 1, "Regions": 0},
            "Bounds": BOUNDS,
        }

    def start(self):
        role = self.platform.roles[self.role]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = render(file.read(), self.settings())
        path = os.path.join(self.platform.folder, self.name + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        words = role["run"].replace("/etc/lacewingwalk/local.yaml", path).split()
        words[0] = os.path.join(ROOT, words[0])
        if not os.path.exists(words[0]):
            raise CannotRun(f"{words[0]} is not built")
        with open(os.path.join(self.platform.folder, self.name + ".log"), "ab") as log:
            self.child = subprocess.Popen(words, cwd=ROOT, stdout=log, stderr=log)
        self.started_at = time.monotonic()
        self.expected_end = False
        self.platform.record(f"platform: started {self.name} ({self.ip}, {self.zone}, Bootstrap {self.bootstrap})")

    def running(self):
        return self.child is not None and self.child.poll() is None

    def kill(self, reason):
        self.expected_end = True
        if self.running():
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait()
        self.platform.record(f"platform: killed {self.name}: {reason}")

    def terminate(self):
        """SIGTERM, and SIGKILL after GraceS."""
        self.expected_end = True
        self.platform.record(f"platform: SIGTERM to {self.name}")
        self.child.terminate()
        try:
            self.child.wait(BOUNDS["GraceS"])
        except subprocess.TimeoutExpired:
            self.child.kill()
            self.child.wait()
        self.platform.record(f"platform: {self.name} ended with code {self.child.returncode}")

    def wipe(self):
        shutil.rmtree(self.data, ignore_errors=True)
        self.bootstrap = False
        self.platform.record(f"platform: the disk of {self.name} is lost")


class Platform:
    """Starts and restarts machines, and ends all of them."""

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="lw-review-")
        self.net = pick_network()
        self.roles = deploy_roles()
        self.seeds = [f"{self.net}.{11 + i}" for i in range(3)]
        self.machines = []
        self.closing = False
        self.record(f"platform: network {self.net}.0/24, TROUBLE={int(TROUBLE)}")
        self.watcher = threading.Thread(target=self.watch, daemon=True)
        self.watcher.start()

    def add(self, name, role, last_octet, zone, bootstrap):
        machine = Machine(self, name, role, f"{self.net}.{last_octet}", zone, bootstrap)
        self.machines.append(machine)
        return machine

    def add_cores(self):
        return [self.add(f"core-{i + 1}", "lw-control", 11 + i, ZONES[i], True) for i in range(3)]

    def watch(self):
        """Restarts processes that ended by themselves, after a short delay."""
        while not self.closing:
            for machine in list(self.machines):
                if machine.child is not None and not machine.expected_end and machine.child.poll() is not None:
                    machine.own_ends.append(time.monotonic())
                    machine.expected_end = True
                    self.record(f"platform: {machine.name} ended by itself, code {machine.child.returncode}")
                    time.sleep(0.5)
                    if not self.closing:
                        machine.bootstrap = False
                        machine.start()
            time.sleep(0.02)

    def close(self):
        self.closing = True
        self.watcher.join()
        for machine in self.machines:
            if machine.running():
                machine.kill("end of the run")
        shutil.rmtree(self.folder, ignore_errors=True)


def call(ip, method, path, body=b"", timeout=1.0, port=CONTROL_PORT):
    """Sends one HTTP request. Returns (status, body, location), or None without a response."""
    connection = http.client.HTTPConnection(ip, port, timeout=timeout)
    try:
        connection.request(method, path, body, {"Content-Type": "application/json"})
        response = connection.getresponse()
        return response.status, response.read(), response.getheader("Location", "")
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


class Operator:
    """Sends orders as the operator's page says: any node, redirects twice, the next node after a failure."""

    def __init__(self, platform):
        self.platform, self.record = platform, platform.record
        self.acknowledged = 0
        self.answered_by = None

    def nodes(self):
        nodes = [machine.ip for machine in self.platform.machines if machine.role == "lw-control" and machine.running()]
        random.shuffle(nodes)
        return nodes

    def once(self, ip, method, path, body=b""):
        for _ in range(3):
            result = call(ip, method, path, body, 2.0)
            if result is None or result[0] != 307:
                self.answered_by = ip
                return result
            ip = result[2].removeprefix("http://").split(":")[0]
        return result

    def send(self, method, path, body, limit_s, what):
        """Sends until there is a clear answer. Returns (status, body), or None."""
        deadline, pause = time.monotonic() + limit_s, 0.1
        while time.monotonic() < deadline:
            for ip in self.nodes():
                result = self.once(ip, method, path, body)
                self.record(f"operator: {what} to {ip}: {result[0] if result else 'no response'}")
                if result and (result[0] < 300 or result[0] in (400, 409, 412, 413, 422)):
                    return result[:2]
                time.sleep(pause)
                if time.monotonic() > deadline:
                    return None
            pause = min(pause * 1.5, 1.0)
        return None

    def replace(self, config, limit_s):
        body = json.dumps(config, ensure_ascii=False).encode()
        result = self.send("POST", "/v1/Config.Replace", body, limit_s, f"Config.Replace version {config['Version']}")
        if result and result[0] == 200:
            self.acknowledged = max(self.acknowledged, config["Version"])
        return result

    def leader(self):
        """Returns the address that the others redirect to, which the operator sees in Location."""
        for ip in self.nodes():
            result = call(ip, "GET", "/v1/Config.Read")
            if result and result[0] == 307:
                return result[2].removeprefix("http://").split(":")[0]
        return None


def make_config(version, routes, services, timeout_ms=1500):
    """A complete configuration. routes: (name, host, port, kind, service)."""
    return {
        "Version": version,
        "Routes": [
            {
                "Name": name,
                "Host": host,
                "PathPrefix": f"/{port}/",
                "Kind": kind,
                "TimeoutMs": timeout_ms,
                "TargetLatencyMs": 150,
                "Priority": 2,
                "Service": service,
                "MaxAttempts": 2,
            }
            for name, host, port, kind, service in routes
        ],
        "Services": [
            {"Name": name, "HealthPath": "/healthz", "MaxConnections": 4444, "Protocol": "h1", "Tls": False}
            for name in services
        ],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
    }


def run_case(play):
    """Runs play(platform), which returns whether the rule was broken. Exits with 1, 0 or 2. The first argument of the
    program is the path of the record."""
    platform = None
    code = 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        platform = Platform(sys.argv[1])
        code = 1 if play(platform) else 0
    except Exception as error:  # Exit code 1 must mean that the rule was broken.
        print(f"cannot run: {error!r}")
        if platform:
            platform.record(f"cannot run: {error!r}")
    finally:
        if platform:
            platform.record(f"result: {('rule held', 'RULE BROKEN', 'could not run')[code]}")
            platform.close()
    print(("the rule held", "the rule was broken", "the case could not run")[code])
    sys.exit(code)
