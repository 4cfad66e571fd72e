"""Starts and stops the programs of a small lacewingwalk system on loopback."""

import json
import os
import random
import signal
import socket
import subprocess
import time

REGION_KEY = "loopback-region-key-0123456789"


class PortPool:
    """Allocates loopback ports that are free for both TCP and UDP."""

    # Below the kernel's ephemeral range, so that no outgoing connection uses a port between its allocation and use.
    RANGE = range(10000, 32000)

    def __init__(self):
        self._used = set()

    def take(self):
        for _ in range(1000):
            port = random.choice(self.RANGE)
            if port not in self._used and self._is_free(port):
                self._used.add(port)
                return f"127.0.0.1:{port}"
        raise RuntimeError("no free loopback port")

    @staticmethod
    def _is_free(port):
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    return False
        return True


class Process:
    """A child process whose output is appended to NAME.log in the given directory."""

    def __init__(self, name, command, folder):
        self.name = name
        self.command = command
        self.log_path = os.path.join(folder, name + ".log")
        self.popen = None
        self.start()

    def start(self):
        with open(self.log_path, "a") as log:
            self.popen = subprocess.Popen(
                self.command, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def terminate(self, timeout=20):
        """Sends SIGTERM and returns the exit code, or None if the process was killed after the timeout."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGTERM)
        try:
            return self.popen.wait(timeout)
        except subprocess.TimeoutExpired:
            self.kill()
            return None

    def kill(self):
        if self.popen.poll() is None:
            self.popen.kill()
        self.popen.wait()


class LocalSystem:
    """Entry instances, control instances, upstreams and the simulated fabric of one region."""

    def __init__(self, bin_folder, work_folder, zones, entries_per_zone, controls):
        self.bin = bin_folder
        self.folder = work_folder
        self.zones = zones
        self.ports = PortPool()
        self.processes = []
        self.controls = self._plan_controls(controls)
        self.entries = self._plan_entries(entries_per_zone)
        self.egress = self.ports.take()
        self.ingresses = {}
        self.proxy = None
        self.links = []

    def _plan_controls(self, count):
        controls = [
            {
                "instance": number,
                "availability_zone": self.zones[(number - 1) % len(self.zones)],
                "operator_listen": self.ports.take(),
                "feed_listen": self.ports.take(),
                "peer_listen": self.ports.take(),
                "data_directory": os.path.join(self.folder, f"control{number}.data"),
            }
            for number in range(1, count + 1)
        ]
        for control in controls:
            control["instances"] = [
                {
                    "instance": other["instance"],
                    "peer_address": other["peer_listen"],
                    "operator_address": other["operator_listen"],
                }
                for other in controls
            ]
        return controls

    def start_fault_proxy(self, seed):
        """Starts the fault proxy and routes the peer connections of the control instances through it.

        Must be called before start_controls. Link "1-2" carries the connections from instance 1 to instance 2.
        """
        links = []
        self.links = []
        for control in self.controls:
            for other in control["instances"]:
                if other["instance"] == control["instance"]:
                    continue
                name = f"{control['instance']}-{other['instance']}"
                listen = self.ports.take()
                links.append(f"{name}={listen}={other['peer_address']}")
                other["peer_address"] = listen
                self.links.append(name)
        command = [
            os.path.join(self.bin, "lw-faultproxy"),
            f"--links={','.join(links)}",
            f"--seed={seed}",
        ]
        self.proxy = subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )

    def proxy_command(self, line):
        self.proxy.stdin.write(line + "\n")
        self.proxy.stdin.flush()
        answer = self.proxy.stdout.readline().strip()
        if answer != "ok":
            raise RuntimeError(f"fault proxy rejected {line!r}: {answer!r}")

    def _plan_entries(self, per_zone):
        entries = []
        for zone in self.zones:
            for _ in range(per_zone):
                entries.append(
                    {
                        "instance": len(entries) + 1,
                        "region": "local",
                        "availability_zone": zone,
                        "datagram_listen": self.ports.take(),
                        "peer_listen": self.ports.take(),
                        "announce_listen": self.ports.take(),
                        "metrics_listen": self.ports.take(),
                        "region_key": REGION_KEY,
                        "control_feeds": [c["feed_listen"] for c in self.controls],
                    }
                )
        seeds = [entry["peer_listen"] for entry in entries]
        for entry in entries:
            entry["seeds"] = seeds
        return entries

    def _run(self, name, program, arguments):
        command = [os.path.join(self.bin, program)] + arguments
        process = Process(name, command, self.folder)
        self.processes.append(process)
        return process

    def _settings_file(self, name, settings):
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w") as file:
            json.dump(settings, file, indent=2)
        return f"--settings={path}"

    def start_controls(self):
        for control in self.controls:
            os.makedirs(control["data_directory"], exist_ok=True)
        return [
            self._run(
                f"control{c['instance']}",
                "lw-control",
                [self._settings_file(f"control{c['instance']}", c)],
            )
            for c in self.controls
        ]

    def start_entries(self):
        processes = []
        for entry in self.entries:
            entry["egress"] = self.egress
            if "data_directory" in entry:
                os.makedirs(entry["data_directory"], exist_ok=True)
            name = f"entry{entry['instance']}"
            processes.append(self._run(name, "lw-entry", [self._settings_file(name, entry)]))
        return processes

    def start_fabric(self, services, extra=()):
        """Starts the fabric simulator with one ingress for each service address."""
        for service in services:
            self.ingresses[service] = self.ports.take()
        pairs = ",".join(f"{listen}={service}" for service, listen in self.ingresses.items())
        entries = ",".join(entry["datagram_listen"] for entry in self.entries)
        arguments = [f"--ingress={pairs}", f"--egress={self.egress}", f"--entries={entries}"]
        return self._run("fabric", "lw-fabric", arguments + list(extra))

    def start_upstream(self, name, service, zone, request_service, extra=()):
        announce = ",".join(
            e["announce_listen"] for e in self.entries if e["availability_zone"] == zone
        )
        arguments = [
            f"--listen={self.ports.take()}",
            f"--name={name}",
            f"--service={service}",
            f"--announce={announce}",
            f"--request_service={'true' if request_service else 'false'}",
            f"--record={os.path.join(self.folder, name + '.runs')}",
            f"--late={os.path.join(self.folder, name + '.late')}",
        ]
        return self._run(name, "lw-upstream", arguments + list(extra))

    def caller_command(self, name, arguments):
        record = os.path.join(self.folder, name + ".record")
        command = [os.path.join(self.bin, "lw-caller"), f"--name={name}", f"--record={record}"]
        return command + arguments

    def lwctl(self, *arguments, timeout=30):
        control = ",".join(c["operator_listen"] for c in self.controls)
        command = [os.path.join(self.bin, "lwctl"), f"--control={control}", *arguments]
        return subprocess.run(command, capture_output=True, text=True, timeout=timeout)

    def apply_service(self, definition):
        path = os.path.join(self.folder, definition["name"] + ".service.json")
        with open(path, "w") as file:
            json.dump(definition, file)
        result = self.lwctl("--format=json", "apply", path)
        if result.returncode != 0:
            raise RuntimeError(f"lwctl apply failed: {result.stderr}")
        return int(json.loads(result.stdout)["version"])

    def wait_in_force(self, version, instances, seconds=20):
        """Returns whether the version came into force on the given number of instances within the time."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            status = self.lwctl("--format=json", "status")
            if status.returncode == 0:
                reports = json.loads(status.stdout).get("instances", [])
                done = [r for r in reports if int(r["version_in_force"]) >= version]
                if len(done) >= instances:
                    return True
            time.sleep(0.1)
        return False

    def stop_all(self):
        """Terminates running processes in reverse order of their start and returns their exit codes by name."""
        codes = {}
        for process in reversed(self.processes):
            if process.popen.poll() is None:
                codes[process.name] = process.terminate()
        if self.proxy is not None:
            self.proxy.stdin.close()
            self.proxy.wait(10)
        return codes
