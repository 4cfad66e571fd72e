"""Runs the platform programs as processes on loopback, injects faults and checks the system's guarantees.

The checks use only what callers, upstreams and the operator observe. Prints one line with the seed and the counts,
followed by the violations; the exit code is 1 if there are any. --keep saves the logs of a failed seed.
"""

import argparse
import asyncio
import collections
import json
import os
import random
import resource
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from typing import NamedTuple

from packets import parse_address
from standins import STABLE_SECONDS, Callers, FaultProxy, Upstream, http_call

ZONES = ("zone-a", "zone-b", "zone-c")
LOG_PORT, POLL_PORT, API_PORT, READY_PORT, METRICS_PORT = 7720, 7721, 8166, 8167, 9464
BASE_ROUTE = (parse_address("198.18.0.1"), 80)
OTHER_ROUTE = (parse_address("198.18.0.2"), 80)
START_SECONDS = 15
APPLY_SECONDS = 3.0
RECOVER_SECONDS = 12.0
ADDRESS_REUSE_SECONDS = 2.0
MIN_SERVED_RATIO = 0.95
EVACUATION_SECONDS = 5.0
EVACUATION_PATHS = {True: "/v1/Evacuations.Begin/", False: "/v1/Evacuations.Finish/"}


class ZoneState(NamedTuple):
    """State of a zone that was acknowledged last, and the newest configuration that was sent before."""

    evacuated: bool
    acknowledged_at: float
    version: int


class Process:
    """A program with its settings and the time of the last fault injected into it."""

    def __init__(self, soak_run, name, program, settings):
        self.soak_run, self.name, self.program, self.settings = soak_run, name, program, settings
        self.ip = settings["address"]
        self.last_fault_at = 0.0
        self.child = None

    def start(self):
        path = os.path.join(self.soak_run.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        with open(os.path.join(self.soak_run.folder, self.name + ".log"), "ab") as log:
            self.child = subprocess.Popen(
                [os.path.join(self.soak_run.binaries, self.program), f"--settings={path}"], stdout=log, stderr=log
            )

    def signal(self, number):
        if self.child.poll() is None:
            self.child.send_signal(number)

    def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.child.wait()


class Control(Process):
    """A control instance whose public ports are fault proxies."""

    def __init__(self, soak_run, index, seeds):
        public, private = f"127.1.{soak_run.net}.{index + 1}", f"127.2.{soak_run.net}.{index + 1}"
        settings = {
            "address": public,
            "bind_address": private,
            "availability_zone": ZONES[index],
            "control_listen": f"{private}:{API_PORT}",
            "first_internal_port": LOG_PORT,
            "last_internal_port": LOG_PORT + 15,
            "metrics_port": METRICS_PORT,
            "seeds": seeds,
            "first_start": True,
            "beat_ms": 1000,
            "machine_losses": 1,
            "data_directory": os.path.join(soak_run.folder, f"data-{index}"),
        }
        super().__init__(soak_run, f"control-{index}", "lw-platform-control", settings)
        self.api = f"{public}:{API_PORT}"
        self.proxies = [FaultProxy((public, port), (private, port)) for port in (LOG_PORT, POLL_PORT, API_PORT)]

    def set_fault(self, fault):
        for proxy in self.proxies:
            proxy.set_fault(fault)


class SoakRun:
    """The system under test, the simulated environment and the violations found."""

    def __init__(self, arguments, folder):
        self.random = random.Random(arguments.seed)
        self.binaries, self.folder = arguments.bin, folder
        self.net = arguments.net
        self.violations = []
        self.services = {BASE_ROUTE: "desk", OTHER_ROUTE: "feed"}
        self.upstreams, self.ended = [], []
        self.next_number = 1
        self.version = self.acknowledged = 0
        self.sent = {}
        self.entries, self.controls = [], []
        self.last_control_fault_at = time.monotonic()
        self.newest_versions = {}
        self.zone_states = {zone: ZoneState(False, 0.0, 0) for zone in ZONES}
        self.counts = {"faults": 0, "flows": 0, "served": 0, "configs": 0, "reads": 0, "evacuations": 0}

    def violation(self, message):
        self.violations.append(f"{time.monotonic() - self.started:.2f} s: {message}")

    def stable_seconds(self, ip):
        """Returns the seconds since the last fault at the entry instance with this address or any control instance."""
        last = max([self.last_control_fault_at] + [entry.last_fault_at for entry in self.entries if entry.ip == ip])
        return time.monotonic() - last

    def select_entry(self, key):
        running = [entry for entry in self.entries if entry.ready]
        return max(running, key=lambda entry: hash((entry.ip, key)), default=None)

    def upstream_of_flow(self, key):
        return next((upstream for upstream in self.upstreams if key in upstream.flows), None)

    def check_misrouted_packet(self, upstream, key):
        owner = self.upstream_of_flow(key)
        if owner is not None and owner is not upstream:
            self.violation(f"a packet of a flow at upstream {owner.number} reached upstream {upstream.number}")

    def check_evacuated_zone(self, upstream, ip):
        """Checks a new flow that the entry instance with this address has sent to the upstream.

        The instance was connected if it has a configuration that was sent after the acknowledgement, because control
        instances report both together, or if there were no faults at control instances.
        """
        state = self.zone_states[upstream.zone]
        if state is None or not state.evacuated or time.monotonic() - state.acknowledged_at <= EVACUATION_SECONDS:
            return
        entry = next(entry for entry in self.entries if entry.ip == ip)
        is_running = time.monotonic() - entry.last_fault_at > EVACUATION_SECONDS
        is_newer = self.newest_versions.get(entry.child.pid, 0) > state.version
        if is_running and (is_newer or self.stable_seconds(ip) > EVACUATION_SECONDS):
            self.violation(f"{entry.name} sent a new flow to upstream {upstream.number} in evacuated {upstream.zone}")

    async def start_system(self):
        self.started = time.monotonic()
        seeds = [f"127.1.{self.net}.{index + 1}:{API_PORT}" for index in range(len(ZONES))]
        self.controls = [Control(self, index, seeds) for index in range(len(ZONES))]
        for index in range(4):
            ip = f"127.3.{self.net}.{index + 1}"
            settings = {
                "address": ip,
                "availability_zone": ZONES[index % len(ZONES)],
                "packet_listen": f"{ip}:8172",
                "ready_listen": f"{ip}:{READY_PORT}",
                "first_internal_port": LOG_PORT,
                "last_internal_port": LOG_PORT + 15,
                "metrics_port": METRICS_PORT,
                "seeds": seeds,
                "beat_ms": 1000,
                "apply_ms": 3000,
                "grace_s": 4,
            }
            entry = Process(self, f"entry-{index}", "lw-platform-entry", settings)
            entry.ready = False
            entry.zones_evacuated = 0
            self.entries.append(entry)
        for control in self.controls:
            for proxy in control.proxies:
                await proxy.start()
        for process in self.controls + self.entries:
            process.start()
        for index in range(6):
            await self.add_upstream("desk" if index < 4 else "feed", index)
        self.callers = Callers(self, f"127.9.{self.net}.1")
        await self.callers.start()

    async def add_upstream(self, service, slot):
        number, self.next_number = self.next_number, self.next_number + 1
        upstream = Upstream(self, f"127.8.{self.net}.{slot + 1}", service, ZONES[slot % len(ZONES)], number)
        upstream.slot = slot
        await upstream.start()
        self.upstreams.append(upstream)
        return upstream

    # Background activity during the whole run.

    async def monitor_readiness(self):
        while True:
            for entry in self.entries:
                result = await http_call(f"{entry.ip}:{READY_PORT}", "GET", "/v1/readyz", timeout=0.5)
                entry.ready = bool(result and result[0] == 200)
                await self.check_version(entry)
            await asyncio.sleep(0.3)

    async def check_version(self, entry):
        child = entry.child.pid
        result = await http_call(f"{entry.ip}:{METRICS_PORT}", "GET", "/metrics", timeout=0.5)
        if result is None or entry.child.pid != child:
            return
        for line in result[1].decode().splitlines():
            if line.startswith("zones_evacuated "):
                entry.zones_evacuated = int(line.split()[1])
            if line.startswith("config_version_in_force "):
                version = int(line.split()[1])
                if version < self.newest_versions.get(child, 0):
                    self.violation(f"{entry.name} went back to version {version}")
                self.newest_versions[child] = version

    async def open_flows(self):
        tasks = set()
        while True:
            service = BASE_ROUTE if self.random.random() < 0.8 else OTHER_ROUTE
            packets, pause = self.random.choice([(1, 0.01), (3, 0.02), (40, 0.1)])
            task = asyncio.create_task(self.run_one_flow(service, packets, pause))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(self.random.expovariate(40))

    async def run_one_flow(self, service, packets, pause):
        started = time.monotonic()
        outcome = await self.callers.run_flow(service, packets, pause)
        self.counts["flows"] += 1
        self.counts["served"] += outcome == "served"
        self.results.append((started, outcome))

    async def run_operator(self):
        while True:
            await self.replace_config()
            await self.read_config()
            await asyncio.sleep(self.random.uniform(0.2, 1.5))

    async def replace_config(self):
        self.version += self.random.randint(1, 3)
        version = self.version
        routes = [self.make_route("r-base", BASE_ROUTE, "desk"), self.make_route("r-other", OTHER_ROUTE, "feed")]
        extra = (parse_address("198.18.1.0") + version % 200, 80)
        self.services[extra] = "desk"
        routes.append(self.make_route(f"r-{version}", extra, "desk"))
        document = {
            "Version": version,
            "Routes": routes,
            "Services": [{"Name": "desk"}, {"Name": "feed"}],
            "Limits": {"IdleTimeoutMs": 15000},
        }
        body = json.dumps(document).encode()
        self.sent[version] = body
        drop_response = self.random.random() < 0.2
        for _ in range(6):
            control = self.random.choice(self.controls)
            result = await http_call(control.api, "POST", "/v1/Config.Replace", body, drop_response=drop_response)
            drop_response = False
            if result and result[0] == 200:
                self.acknowledged = max(self.acknowledged, version)
                self.counts["configs"] += 1
                return
            if result and result[0] in (400, 409, 412, 413, 422):
                self.violation(f"valid version {version} was rejected with {result[0]}")
                return
            await asyncio.sleep(0.2)

    @staticmethod
    def make_route(name, place, service):
        return {
            "Name": name,
            "Host": ".".join(str(byte) for byte in place[0].to_bytes(4, "big")),
            "PathPrefix": f"/{place[1]}/",
            "Kind": "idempotent",
            "TimeoutMs": 1000,
            "TargetLatencyMs": 200,
            "Priority": 1,
            "Service": service,
        }

    async def read_config(self):
        acknowledged = self.acknowledged
        control = self.random.choice(self.controls)
        result = await http_call(control.api, "GET", "/v1/Config.Read")
        if result is None or result[0] != 200:
            return False
        self.counts["reads"] += 1
        version = json.loads(result[1])["Version"]
        if version < acknowledged:
            self.violation(f"{control.name} returned version {version} after {acknowledged} was acknowledged")
        if result[1] != self.sent.get(version):
            self.violation(f"{control.name} returned wrong content for version {version}")
        return True

    async def set_evacuation(self, zone, evacuated):
        """Begins or ends the evacuation of a zone. Returns whether the call was acknowledged."""
        state = self.zone_states[zone]
        if state is None or state.evacuated != evacuated:
            # Without a definite response, the call may or may not have taken effect.
            self.zone_states[zone] = None
        path = EVACUATION_PATHS[evacuated] + zone
        drop_response = self.random.random() < 0.2
        for _ in range(10):
            control = self.random.choice(self.controls)
            result = await http_call(control.api, "POST", path, drop_response=drop_response)
            drop_response = False
            if result and result[0] == 200:
                self.counts["evacuations"] += 1
                if self.zone_states[zone] is None:
                    self.zone_states[zone] = ZoneState(evacuated, time.monotonic(), self.version)
                return True
            if result and result[0] != 503:
                self.violation(f"valid call {path} was rejected with {result[0]}")
                return False
            await asyncio.sleep(0.2)
        return False

    async def change_evacuations(self):
        while self.injecting:
            zone = self.random.choice(ZONES)
            for evacuated in (True, False):
                await self.set_evacuation(zone, evacuated)
                await self.set_evacuation(zone, evacuated)
                await asyncio.sleep(self.random.uniform(0.5, 8.0))
                if not self.injecting:
                    return

    # Faults. Each function injects one fault and removes it; faults at different processes can overlap.

    def record_fault(self, process):
        process.last_fault_at = time.monotonic()
        if process in self.controls:
            self.last_control_fault_at = time.monotonic()

    async def fault_kill(self, process):
        process.kill()
        await asyncio.sleep(self.random.uniform(0.1, 2.0))
        process.start()

    async def fault_term(self, process):
        process.signal(signal.SIGTERM)
        for _ in range(60):
            if process.child.poll() is not None:
                break
            await asyncio.sleep(0.1)
        process.kill()
        process.start()

    async def fault_pause(self, process):
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.3, 4.0))
        process.signal(signal.SIGCONT)

    async def fault_reload(self, process):
        self.random.shuffle(process.settings["seeds"])
        with open(os.path.join(self.folder, process.name + ".json"), "w", encoding="utf-8") as file:
            json.dump(process.settings, file)
        process.signal(signal.SIGHUP)

    async def fault_link(self, control):
        control.set_fault(self.random.choice(FaultProxy.FAULTS))
        await asyncio.sleep(self.random.uniform(0.5, 5.0))
        control.set_fault(None)

    async def fault_full_disk(self, control):
        pid = control.child.pid
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (0, resource.RLIM_INFINITY))
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        if control.child.poll() is None:
            resource.prlimit(pid, resource.RLIMIT_FSIZE, (resource.RLIM_INFINITY, resource.RLIM_INFINITY))

    async def fault_torn_tail(self, control):
        control.kill()
        folder = control.settings["data_directory"]
        segments = sorted(name for name in os.listdir(folder) if name.startswith("log-"))
        if segments:
            with open(os.path.join(folder, segments[-1]), "ab") as file:
                file.write(self.random.randbytes(self.random.randint(1, 200)))
        await asyncio.sleep(0.3)
        control.start()

    async def fault_wipe(self, control):
        control.kill()
        shutil.rmtree(control.settings["data_directory"])
        control.settings["first_start"] = False
        await asyncio.sleep(self.random.uniform(0.1, 1.0))
        control.start()

    async def fault_all_controls(self, _control):
        for control in self.controls:
            control.kill()
        await asyncio.sleep(self.random.uniform(0.1, 1.0))
        for control in self.controls:
            control.start()

    async def inject_control_faults(self):
        """Injects faults into one control instance at a time, so that a quorum remains, or kills all of them."""
        kinds = [
            self.fault_kill,
            self.fault_term,
            self.fault_pause,
            self.fault_reload,
            self.fault_link,
            self.fault_full_disk,
            self.fault_torn_tail,
            self.fault_wipe,
            self.fault_all_controls,
        ]
        while self.injecting:
            await asyncio.sleep(self.random.uniform(0.2, 2.0))
            control = self.random.choice(self.controls)
            fault = self.random.choice(kinds)
            await self.run_fault(fault, control)
            if fault in (self.fault_wipe, self.fault_all_controls, self.fault_torn_tail):
                await asyncio.sleep(STABLE_SECONDS)

    async def inject_entry_faults(self):
        kinds = [self.fault_kill, self.fault_term, self.fault_pause, self.fault_reload]
        while self.injecting:
            await asyncio.sleep(self.random.uniform(0.2, 2.5))
            await self.run_fault(self.random.choice(kinds), self.random.choice(self.entries))

    async def run_fault(self, fault, process):
        self.counts["faults"] += 1
        print(f"{time.monotonic() - self.started:7.2f} {fault.__name__} {process.name}", file=self.fault_log)
        self.record_fault(process)
        affected = self.controls if fault == self.fault_all_controls else [process]
        try:
            await fault(process)
        finally:
            for affected_process in affected:
                self.record_fault(affected_process)

    async def change_upstreams(self):
        while self.injecting:
            await asyncio.sleep(self.random.uniform(1.0, 3.0))
            upstream = self.random.choice(self.upstreams)
            if self.random.random() < 0.4:
                upstream.stop()
                self.upstreams.remove(upstream)
            else:
                await self.drain(upstream)
            await asyncio.sleep(self.random.uniform(ADDRESS_REUSE_SECONDS, 3.0))
            service = self.random.choice(["desk", "desk", "feed"])
            missing = {"desk", "feed"} - {other.service for other in self.upstreams}
            await self.add_upstream(min(missing, default=service), upstream.slot)

    async def drain(self, upstream):
        upstream.state = "draining"
        for _ in range(20):
            if await upstream.send_heartbeat():
                break
            await asyncio.sleep(0.3)
        await asyncio.sleep(4.5)
        path = f"/v1/Instances.Deregister/i-{upstream.number:08x}"
        body = json.dumps({"born": upstream.start_time_ms}).encode()
        await http_call(self.random.choice(self.controls).api, "POST", path, body)
        upstream.stop()
        self.upstreams.remove(upstream)

    # Course of the run.

    async def wait_until_served(self):
        end = time.monotonic() + START_SECONDS
        while time.monotonic() < end:
            if not self.acknowledged:
                await self.replace_config()
            if self.acknowledged and all(entry.ready for entry in self.entries):
                return
            await asyncio.sleep(0.1)
        self.violation(f"the system did not start within {START_SECONDS} s")

    async def run(self, seconds):
        self.results = []
        self.injecting = True
        with open(os.path.join(self.folder, "faults.log"), "w", encoding="utf-8") as self.fault_log:
            await self.start_system()
            background_tasks = [asyncio.create_task(self.monitor_readiness())]
            await self.wait_until_served()
            background_tasks += [asyncio.create_task(self.open_flows()), asyncio.create_task(self.run_operator())]
            faults = [
                asyncio.create_task(task())
                for task in (
                    self.inject_control_faults,
                    self.inject_entry_faults,
                    self.change_upstreams,
                    self.change_evacuations,
                )
            ]
            await asyncio.sleep(seconds)
            self.injecting = False
            await asyncio.gather(*faults)
            await self.check_recovery()
            # Closing the remaining connections causes errors that are no violations.
            asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()

    async def check_recovery(self):
        for process in self.controls + self.entries:
            if process.child.poll() is not None:
                self.violation(f"{process.name} exited unexpectedly with {process.child.returncode}")
                process.start()
        await asyncio.sleep(RECOVER_SECONDS)
        self.check_zones_evacuated()
        for zone in ZONES:
            await self.change_zone(zone, False)
        recovered_at = time.monotonic()
        before = self.acknowledged
        await asyncio.sleep(4.0)
        if self.acknowledged == before:
            self.violation(f"no configuration was acknowledged after the faults, last error {http_call.last_error}")
        reads = [await self.read_config() for _ in range(10)]
        if not any(reads):
            self.violation("the configuration could not be read after the faults")
        after = collections.Counter(outcome for started, outcome in self.results if started > recovered_at)
        if after["served"] < MIN_SERVED_RATIO * max(after.total(), 1):
            self.violation(f"flows after the faults: {dict(after)}")
        # New flows after a drain are tolerated shortly after a fault, so one drain is checked without faults.
        draining = next((upstream for upstream in self.upstreams if upstream.service == "desk"), None)
        if draining is not None:
            await self.drain(draining)
        # Evacuations during the faults may be short, so one is checked without faults.
        await self.change_zone(ZONES[0], True)
        await asyncio.sleep(EVACUATION_SECONDS)
        newest = self.acknowledged
        await asyncio.sleep(APPLY_SECONDS)
        outdated = [entry.name for entry in self.entries if self.newest_versions.get(entry.child.pid, 0) < newest]
        if outdated:
            self.violation(f"version {newest} is not in force at {outdated}")
        self.check_zones_evacuated()
        await self.change_zone(ZONES[0], False)
        await asyncio.sleep(APPLY_SECONDS)
        self.check_zones_evacuated()

    async def change_zone(self, zone, evacuated):
        """Sends a call and repeats it. Both must be acknowledged, because there are no faults."""
        for _ in range(2):
            if not await self.set_evacuation(zone, evacuated):
                path = EVACUATION_PATHS[evacuated] + zone
                self.violation(f"{path} was not acknowledged, last error {http_call.last_error}")

    def check_zones_evacuated(self):
        states = list(self.zone_states.values())
        acknowledged = sum(state is not None and state.evacuated for state in states)
        allowed = range(acknowledged, acknowledged + states.count(None) + 1)
        actual = {entry.name: entry.zones_evacuated for entry in self.entries}
        if len(set(actual.values())) > 1 or actual[self.entries[0].name] not in allowed:
            self.violation(f"{acknowledged} zones are evacuated, but the entry instances report {actual}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default="build/bin")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--net", type=int, default=1, help="third address byte; must differ in concurrent runs")
    parser.add_argument("--keep", help="directory for the logs of a failed seed")
    arguments = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="lacewingwalk-soak-")
    soak_run = SoakRun(arguments, folder)
    random.seed(arguments.seed)
    try:
        asyncio.run(soak_run.run(arguments.seconds))
    finally:
        for process in soak_run.controls + soak_run.entries:
            if process.child is not None:
                process.kill()
    counts = " ".join(f"{name} {count}" for name, count in soak_run.counts.items())
    print(f"seed {arguments.seed}: {counts} violations {len(soak_run.violations)}")
    for violation in soak_run.violations:
        print("  " + violation)
    if soak_run.violations and arguments.keep:
        shutil.copytree(folder, os.path.join(arguments.keep, f"seed-{arguments.seed}"), dirs_exist_ok=True)
    shutil.rmtree(folder)
    return 1 if soak_run.violations else 0


if __name__ == "__main__":
    sys.exit(main())
