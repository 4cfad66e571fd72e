#!/usr/bin/env python3
"""Verifies that the soak detects known faults: builds the programs with each fault in turn and runs the soak."""

import argparse
import os
import shutil
import subprocess
import sys
import tempfile
from typing import NamedTuple

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAMS = ["lw-platform-control", "lw-platform-entry"]


class Fault(NamedTuple):
    name: str
    path: str
    before: str
    after: str


FAULTS = [
    Fault(
        "packets of unknown upstreams are reset",
        "src/libs/steering/steering.cpp",
        "return Refuse(Action::Drop, Reason::UnknownTag);\n  }\n  if (upstream->",
        "return Refuse(Action::Reset, Reason::UnknownTag);\n  }\n  if (upstream->",
    ),
    Fault(
        "draining upstreams get new flows",
        "src/libs/directory/serviceindex.cpp",
        "aUpstream.mUpstream.mState == State::Ready",
        "aUpstream.mUpstream.mState != State::Gone",
    ),
    Fault(
        "packets are changed",
        "platform/packetgateway.cpp",
        "WriteUpstreamPrefix(mBuffer.data(), aDecision",
        "bytes[aSize - 1] ^= 1;\n    WriteUpstreamPrefix(mBuffer.data(), aDecision",
    ),
    Fault(
        "configurations are acknowledged before the log has them",
        "platform/controlapi.cpp",
        "  mLog.Apply(change, [this, version, aRespond]",
        "  if (version % 2 == 0) {\n    aRespond(EmptyResponse());\n    return;\n  }\n"
        "  mLog.Apply(change, [this, version, aRespond]",
    ),
    Fault(
        "reads are not confirmed",
        "platform/controlapi.cpp",
        "mLog.ConfirmRead([",
        "const auto unconfirmed = [](const auto& aDone) { aDone(Control::ChangeOutcome()); };\n  unconfirmed([",
    ),
    Fault(
        "routes are drawn from all services",
        "src/libs/steering/candidates.cpp",
        "Directory::ZonesOf(aInput.mDirectory, aInput.mService)",
        "aInput.mDirectory.mByService.begin()->second",
    ),
    Fault(
        "an entry instance loses an evacuation",
        "src/libs/steering/evacuations.cpp",
        "  auto& readmitted = aEvacuations.mReadmittedAt;\n",
        "  aEvacuations.mZones.clear();\n  auto& readmitted = aEvacuations.mReadmittedAt;\n",
    ),
]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--net", type=int, default=60, help="third address byte; must differ in concurrent runs")
    parser.add_argument("--check", action="store_true", help="only check that all faults apply to the sources")
    parser.add_argument("--only", default="", help="run only faults whose name contains this text")
    arguments = parser.parse_args()
    check_texts()
    if arguments.check:
        return 0
    scratch = tempfile.mkdtemp(prefix="seededfaults-")
    source, build = os.path.join(scratch, "source"), os.path.join(scratch, "build")
    undetected = []
    try:
        subprocess.run(["git", "clone", "--quiet", ROOT, source], check=True)
        configure = ["cmake", "-S", source, "-B", build, "-G", "Ninja", "-DLW_TESTS=OFF"]
        subprocess.run(configure, check=True, stdout=subprocess.DEVNULL)
        for fault in FAULTS:
            if arguments.only in fault.name and not is_detected(fault, source, build, arguments):
                undetected.append(fault.name)
    finally:
        shutil.rmtree(scratch)
    return 1 if undetected else 0


def check_texts():
    """Ends the program with an error if a fault names text that is not in the sources, or not only once."""
    errors = []
    for fault in FAULTS:
        with open(os.path.join(ROOT, fault.path), encoding="utf-8") as file:
            count = file.read().count(fault.before)
        if count != 1:
            errors.append(f"{fault.path} contains the text that '{fault.name}' replaces {count} times instead of once")
    if errors:
        sys.exit("\n".join(errors))


def is_detected(fault, source, build, arguments):
    path = os.path.join(source, fault.path)
    with open(path, encoding="utf-8") as file:
        text = file.read()
    with open(path, "w", encoding="utf-8") as file:
        file.write(text.replace(fault.before, fault.after, 1))
    subprocess.run(["ninja", "-C", build, *PROGRAMS], check=True, stdout=subprocess.DEVNULL)
    soak = os.path.join(ROOT, "tests", "soak", "soak.py")
    command = [sys.executable, soak, "--bin", os.path.join(build, "bin")]
    command += ["--seed", str(arguments.seed), "--net", str(arguments.net)]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    with open(path, "w", encoding="utf-8") as file:
        file.write(text)
    # A run that ends without a violation, for example because the script fails, has not detected the fault.
    violations = [line.strip() for line in result.stdout.splitlines() if line.startswith("  ")]
    seen = violations[:1] or result.stdout.splitlines() + result.stderr.splitlines()[-1:]
    print(f"{'found' if violations else 'MISSED'}: {fault.name}: {seen}", flush=True)
    return bool(violations)


if __name__ == "__main__":
    sys.exit(main())
