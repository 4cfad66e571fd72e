"""Opens many opaque flows at one lw-entry and measures the growth of its memory and flow records.

A third upstream joins before the flows open. It makes a third of the slots ambiguous, so that their flows need
records. Sends the opening packet of every flow, then a second packet of every flow; the caller addresses appear only
in the PROXY headers.
"""

import argparse
import json
import re
import socket
import struct
import sys
import tempfile
import time
import urllib.request

import localsystem
import scenario

HOLD_SECONDS = 8
PROXY_HEADER = b"\r\n\r\n\0\r\nQUIT\n\x21\x12\x00\x0c"
BURST_PACKETS = 50
BURST_PAUSE_SECONDS = 0.002


def datagram(flow, first_byte):
    """Returns a PROXY datagram with a packet of the export service; `flow` determines the caller address."""
    caller = 0x0A000000 + (flow >> 8)
    service = struct.unpack("!I", socket.inet_aton("192.0.2.20"))[0]
    addresses = struct.pack("!IIHH", caller, service, 1024 + (flow & 0xFF), 4000)
    return PROXY_HEADER + addresses + bytes([first_byte]) + b"flow"


def read_metrics(entry):
    url = f"http://{entry['metrics_listen']}/metrics"
    with urllib.request.urlopen(url, timeout=10) as response:
        text = response.read().decode()
    return {name: int(value) for name, value in re.findall(r"^([a-z].*) (-?\d+)$", text, re.M)}


def resident_megabytes(process):
    with open(f"/proc/{process.popen.pid}/status") as file:
        return round(int(re.search(r"VmRSS:\s+(\d+) kB", file.read()).group(1)) / 1024, 1)


def send_all(entry, flows, first_byte):
    host, port = entry["datagram_listen"].split(":")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for flow in range(flows):
            sender.sendto(datagram(flow, first_byte), (host, int(port)))
            if flow % BURST_PACKETS == 0:
                time.sleep(BURST_PAUSE_SECONDS)
    time.sleep(2)


def run(arguments, folder):
    system = localsystem.LocalSystem(arguments.bin, folder, ["zone-a"], 1, 1)
    entry = system.entries[0]
    try:
        system.start_controls()
        (process,) = system.start_entries()
        if not system.wait_in_force(system.apply_service(scenario.EXPORT), 1):
            raise RuntimeError("the configuration did not come into force")
        for name in ("export-1", "export-2"):
            system.start_upstream(name, "export", "zone-a", False)
        time.sleep(HOLD_SECONDS)
        system.start_upstream("export-3", "export", "zone-a", False)
        # Covers the hold time of the new upstream and the steps of its slow start.
        time.sleep(HOLD_SECONDS + 10)
        result = {"flows": arguments.flows, "megabytes_before": resident_megabytes(process)}
        send_all(entry, arguments.flows, 0xC0)
        send_all(entry, arguments.flows, 0x40)
        after = read_metrics(entry)
        result["megabytes_after"] = resident_megabytes(process)
        for name in ("flow_records", "flow_records_evicted_total", "tracked_slots"):
            result[name] = after.get(name, 0)
        result["packets"] = after.get("opaque_packets_total", 0)
        result["drops"] = {k: v for k, v in after.items() if k.startswith("drops_total") and v}
        result["alive"] = process.popen.poll() is None
    finally:
        codes = system.stop_all()
    result["exit_codes_ok"] = all(code == 0 for code in codes.values())
    return result


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default="build/bin")
    parser.add_argument("--flows", type=int, default=300000)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="lacewingwalk-") as folder:
        result = run(arguments, folder)
    print(json.dumps(result))
    return 0 if result["alive"] and result["exit_codes_ok"] else 1


if __name__ == "__main__":
    sys.exit(main())
