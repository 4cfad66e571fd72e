"""Tests lw-entry as a process: settings errors, malformed datagrams, and a graceful stop."""

import json
import os
import random
import re
import socket
import subprocess
import sys
import tempfile
import time
import unittest
import urllib.request

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "scripts"))

import localsystem

BIN = os.environ.get("LW_BIN", "build/bin")
SEED = 20261204
DATAGRAMS = 20000
START_SECONDS = 10


def endpoint(text):
    host, port = text.rsplit(":", 1)
    return host, int(port)


class EntryTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory(prefix="lacewingwalk-")
        self.system = localsystem.LocalSystem(BIN, self.folder.name, ["zone-a"], 1, 1)
        self.settings = self.system.entries[0]
        self.settings["egress"] = self.system.egress

    def tearDown(self):
        self.system.stop_all()
        self.folder.cleanup()

    def check_settings(self, settings):
        path = os.path.join(self.folder.name, "checked.json")
        with open(path, "w") as file:
            json.dump(settings, file)
        command = [os.path.join(BIN, "lw-entry"), f"--settings={path}", "--check_settings"]
        return subprocess.run(command, capture_output=True, text=True, timeout=20)

    # Guards against settings that are only checked when they are used.
    def test_check_settings_accepts_valid_settings(self):
        self.assertEqual(0, self.check_settings(self.settings).returncode)

    # Guards against errors that do not name the key, take several lines, or end with another exit code.
    def test_wrong_settings_give_one_line_and_exit_code_2(self):
        for key, value in (
            ("instance", "one"),
            ("instance", 0),
            ("peer_listen", "127.0.0.1"),
            ("threads", 65),
            ("region_key", "short"),
            ("unknown_key", 1),
        ):
            with self.subTest(key=key, value=value):
                result = self.check_settings({**self.settings, key: value})
                self.assertEqual(2, result.returncode)
                self.assertEqual(1, result.stderr.count("\n"))
                self.assertIn(f'"{key}', result.stderr)

    def counters(self):
        url = f"http://{self.settings['metrics_listen']}/metrics"
        with urllib.request.urlopen(url, timeout=5) as response:
            text = response.read().decode()
        return {name: int(value) for name, value in re.findall(r"^([a-z].*) (-?\d+)$", text, re.M)}

    def wait_for_counters(self):
        end = time.monotonic() + START_SECONDS
        while True:
            try:
                return self.counters()
            except OSError:
                if time.monotonic() > end:
                    raise
                time.sleep(0.05)

    def wait_until_counted(self, name, least):
        end = time.monotonic() + START_SECONDS
        while self.counters().get(name, 0) < least:
            self.assertLess(time.monotonic(), end, f"{name} stays at {self.counters().get(name)}")
            time.sleep(0.05)

    # Guards against a packet that stops the program or is dropped without being counted.
    def test_malformed_datagrams_are_counted_and_do_not_stop_it(self):
        (entry,) = self.system.start_entries()
        self.wait_for_counters()
        source = random.Random(SEED)
        header = b"\r\n\r\n\0\r\nQUIT\n"
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for number in range(DATAGRAMS):
                size = source.choice((0, 1, 15, 16, 28, 60, 1400))
                body = source.randbytes(size)
                if number % 2 == 0:
                    body = header + body
                for port in ("datagram_listen", "peer_listen"):
                    sender.sendto(body, endpoint(self.settings[port]))
                if number % 100 == 0:
                    time.sleep(0.001)  # Leaves the receiver's buffer some room.
            sender.sendto(source.randbytes(65000), endpoint(self.settings["datagram_listen"]))
        self.wait_until_counted('drops_total{reason="malformed"}', 1000)
        self.wait_until_counted('drops_total{reason="peer_malformed"}', 1000)
        self.assertIsNone(entry.popen.poll())
        self.assertEqual(0, entry.terminate())


if __name__ == "__main__":
    unittest.main()
