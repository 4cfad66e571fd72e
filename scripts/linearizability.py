"""Checks a history of configuration changes and reads for linearizability.

Every accepted change gets a version of its own and must start from the version before it, so the versions
give the only possible order of the changes. What is left to check is that this order agrees with real time,
that reads fit into it, and that the final log holds every acknowledged change.
"""

import dataclasses


@dataclasses.dataclass
class Operation:
    """One operation of an operator. A change whose answer never came has the version None."""

    kind: str  # "read" or "change"
    start: float
    end: float
    version: int | None
    base_version: int = 0
    operator_id: str = ""
    request_number: int = 0


def _order_violations(operations):
    """Finds operations that returned an older version than one that ended before they started."""
    violations = []
    ended = sorted((o for o in operations if o.version is not None), key=lambda o: o.end)
    newest = 0
    position = 0
    for operation in sorted(ended, key=lambda o: o.start):
        while position < len(ended) and ended[position].end < operation.start:
            newest = max(newest, ended[position].version)
            position += 1
        is_stale = operation.version < newest
        if operation.kind == "change":
            is_stale = operation.version <= newest
        if is_stale:
            violations.append(f"{operation} is older than version {newest}, which was seen before")
    return violations


def _log_violations(operations, revisions):
    """Compares the acknowledged changes with the final log."""
    violations = []
    versions = [int(r["version"]) for r in revisions]
    if versions != list(range(versions[0], versions[0] + len(versions)) if versions else []):
        violations.append(f"the log's versions are not contiguous: {versions}")
    owners = {}
    for revision in revisions:
        change = revision["change"]
        owner = (change["operator_id"], int(change["request_number"]))
        owners[int(revision["version"])] = owner
        if int(change.get("base_version", 0)) != int(revision["version"]) - 1:
            violations.append(f"version {revision['version']} does not start from the one before it")
    if len(set(owners.values())) != len(owners):
        violations.append("a change stands twice in the log")
    first = versions[0] if versions else 0
    for operation in operations:
        if operation.kind != "change" or operation.version is None or operation.version < first:
            continue
        if owners.get(operation.version) != (operation.operator_id, operation.request_number):
            violations.append(f"acknowledged change is lost: {operation}")
    return violations


def check(operations, revisions):
    """Returns the violations as texts; an empty list means that the history is linearizable."""
    acknowledged = [o for o in operations if o.kind == "change" and o.version is not None]
    violations = []
    if len({o.version for o in acknowledged}) != len(acknowledged):
        violations.append("one version was acknowledged for two changes")
    for operation in acknowledged:
        if operation.version != operation.base_version + 1:
            violations.append(f"change did not take effect on its base version: {operation}")
    violations += _order_violations(operations)
    violations += _log_violations(operations, revisions)
    return violations
