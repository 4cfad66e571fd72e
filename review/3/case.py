"""Invalid configurations whose bytes are cut short inside a name that is not plain ASCII."""

import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from system import TROUBLE, CannotRun, Operator, make_config, run_case

# bad_config in the site file: count = 3, gap_s = 1.0 (troubles), count = 8, gap_s = 0.45 (day scale-1).
BAD_COUNT, BAD_GAP_S = 3, 1.0
# Time for which the operator sends a call again that got no clear response.
CALL_LIMIT_S = 12.0
# RULES.md, Fault: half of the core, three times.
OWN_ENDS_OF_A_MACHINE = 3
NAME = "r-ba\u015fvuru"  # "application" in Turkish; valid JSON in UTF-8.


def play(platform):
    operator = Operator(platform)
    cores = platform.add_cores()
    for core in cores:
        core.start()
    route = lambda version: make_config(
        version, [(NAME, f"{platform.net}.200", 8443, "idempotent", "tagsvc")], ["tagsvc"], 1500 + version
    )
    if not operator.replace(route(2), 20):
        raise CannotRun("the first configuration was not acknowledged")
    time.sleep(5)
    version = 2
    for _ in range(BAD_COUNT):
        version += 3
        if TROUBLE:
            whole = json.dumps(route(version), ensure_ascii=False).encode()
            # The first of the two bytes of the letter is the last one that arrives in the body.
            cut = whole[: whole.index("\u015f".encode()) + 1]
            result = operator.send("POST", "/v1/Config.Replace", cut, CALL_LIMIT_S, "Config.Replace cut short")
            platform.record(f"check: the invalid configuration got {result[0] if result else 'no clear response'}")
        else:
            operator.replace(route(version), CALL_LIMIT_S)
        time.sleep(BAD_GAP_S)
    time.sleep(2)
    ends = {core.name: len(core.own_ends) for core in cores}
    faulty = [name for name, count in ends.items() if count >= OWN_ENDS_OF_A_MACHINE]
    platform.record(f"check: processes that ended by themselves: {ends}")
    return 2 * len(faulty) >= len(cores)


run_case(play)
