"""Checks a history of configuration changes and reads for linearizability.

Each accepted change creates a new version and must be based on the preceding one, so the versions define the only
possible order of the changes. The check verifies that this order is consistent with real time, that reads are
consistent with it, and that the final log contains every acknowledged change.
"""

import dataclasses


@dataclasses.dataclass
class Operation:
    """One operation of an operator. The version is None for a change that was not acknowledged."""

    kind: str  # "read" or "change"
    start: float
    end: float
    version: int | None
    base_version: int = 0
    operator_id: str = ""
    request_number: int = 0


def _order_violations(operations):
    """Finds operations that returned an older version than an operation that had ended before they started."""
    violations = []
    completed = sorted((o for o in operations if o.version is not None), key=lambda o: o.end)
    newest = 0
    position = 0
    for operation in sorted(completed, key=lambda o: o.start):
        while position < len(completed) and completed[position].end < operation.start:
            newest = max(newest, completed[position].version)
            position += 1
        is_stale = operation.version < newest
        if operation.kind == "change":
            is_stale = operation.version <= newest
        if is_stale:
            violations.append(f"{operation} is older than version {newest}, which an earlier operation returned")
    return violations


def _log_violations(operations, revisions):
    """Checks that the final log is consistent and contains all acknowledged changes."""
    violations = []
    versions = [int(r["version"]) for r in revisions]
    if versions != list(range(versions[0], versions[0] + len(versions)) if versions else []):
        violations.append(f"versions in the log are not contiguous: {versions}")
    requests = {}
    for revision in revisions:
        change = revision["change"]
        request = (change["operator_id"], int(change["request_number"]))
        requests[int(revision["version"])] = request
        if int(change.get("base_version", 0)) != int(revision["version"]) - 1:
            violations.append(f"version {revision['version']} is not based on the preceding version")
    if len(set(requests.values())) != len(requests):
        violations.append("a change is in the log twice")
    first_version = versions[0] if versions else 0
    for operation in operations:
        if operation.kind != "change" or operation.version is None or operation.version < first_version:
            continue
        if requests.get(operation.version) != (operation.operator_id, operation.request_number):
            violations.append(f"acknowledged change is not in the log: {operation}")
    return violations


def check(operations, revisions):
    """Returns descriptions of all violations; the list is empty if the history is linearizable."""
    acknowledged = [o for o in operations if o.kind == "change" and o.version is not None]
    violations = []
    if len({o.version for o in acknowledged}) != len(acknowledged):
        violations.append("two changes were acknowledged with the same version")
    for operation in acknowledged:
        if operation.version != operation.base_version + 1:
            violations.append(f"change was not applied to its base version: {operation}")
    violations += _order_violations(operations)
    violations += _log_violations(operations, revisions)
    return violations
