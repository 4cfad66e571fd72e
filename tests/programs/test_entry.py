"""Tests the lw-entry program: settings errors, malformed datagrams, unknown paths and graceful shutdown."""

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
import urllib.error
import urllib.request

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "scripts"))

import localsystem

BIN = os.environ.get("LW_BIN", "build/bin")
SEED = 20261204
DATAGRAM_COUNT = 20000
TIMEOUT_SECONDS = 10


def parse_endpoint(text):
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

    # Guards against settings that are validated only when they are first used.
    def test_check_settings_accepts_valid_settings(self):
        self.assertEqual(0, self.check_settings(self.settings).returncode)

    # Guards against error messages that omit the key or span several lines, and against other exit codes.
    def test_invalid_settings_give_one_line_and_exit_code_2(self):
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

    def read_metrics(self):
        url = f"http://{self.settings['metrics_listen']}/metrics"
        with urllib.request.urlopen(url, timeout=5) as response:
            text = response.read().decode()
        return {name: int(value) for name, value in re.findall(r"^([a-z].*) (-?\d+)$", text, re.M)}

    def wait_for_metrics(self):
        end = time.monotonic() + TIMEOUT_SECONDS
        while True:
            try:
                return self.read_metrics()
            except OSError:
                if time.monotonic() > end:
                    raise
                time.sleep(0.05)

    def wait_for_count(self, name, minimum):
        end = time.monotonic() + TIMEOUT_SECONDS
        while self.read_metrics().get(name, 0) < minimum:
            self.assertLess(time.monotonic(), end, f"{name} stays at {self.read_metrics().get(name)}")
            time.sleep(0.05)

    # Guards against datagrams that terminate the program or are dropped without being counted.
    def test_malformed_datagrams_are_counted_and_do_not_terminate_the_program(self):
        (entry,) = self.system.start_entries()
        self.wait_for_metrics()
        generator = random.Random(SEED)
        header = b"\r\n\r\n\0\r\nQUIT\n"
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for number in range(DATAGRAM_COUNT):
                size = generator.choice((0, 1, 15, 16, 28, 60, 1400))
                body = generator.randbytes(size)
                if number % 2 == 0:
                    body = header + body
                for port in ("datagram_listen", "peer_listen"):
                    sender.sendto(body, parse_endpoint(self.settings[port]))
                if number % 100 == 0:
                    time.sleep(0.001)  # Keeps the receive buffer from overflowing.
            sender.sendto(generator.randbytes(65000), parse_endpoint(self.settings["datagram_listen"]))
        self.wait_for_count('drops_total{reason="malformed"}', 1000)
        self.wait_for_count('drops_total{reason="peer_malformed"}', 1000)
        self.assertIsNone(entry.popen.poll())
        self.assertEqual(0, entry.terminate())

    # Guards against a 404 for the explanation of a choice that does not tell which program serves it.
    def test_explanations_are_refused_with_a_reason(self):
        (entry,) = self.system.start_entries()
        self.wait_for_metrics()
        listen = self.settings["metrics_listen"]
        for path, text in (
            ("/v1/explain?caller=127.0.0.1:1&service=127.0.0.1:2", "only lw-platform-entry serves /v1/explain"),
            ("/v1/explainer", "only GET /metrics is served"),
        ):
            with self.subTest(path=path), self.assertRaises(urllib.error.HTTPError) as caught:
                urllib.request.urlopen(f"http://{listen}{path}", timeout=5)
            with caught.exception as error:
                self.assertEqual(404, error.code)
                self.assertIn(text, error.read().decode())
        self.assertEqual(0, entry.terminate())


if __name__ == "__main__":
    unittest.main()
