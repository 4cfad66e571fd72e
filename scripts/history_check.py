"""Checks the recorded histories of callers and upstreams against the promises."""

import collections
import glob
import os


def read_runs(folder):
    """Counts how often each request body ran on any upstream."""
    runs = collections.Counter()
    for path in glob.glob(os.path.join(folder, "*.runs")):
        with open(path) as file:
            runs.update(line.strip() for line in file if line.strip())
    return runs


def read_records(folder):
    """Returns the bodies that callers were told about, by outcome."""
    outcomes = collections.defaultdict(set)
    for path in glob.glob(os.path.join(folder, "*.record")):
        with open(path) as file:
            for line in file:
                words = line.split()
                if len(words) == 2:
                    outcomes[words[0]].add(words[1])
    return outcomes


def read_late_work(folder):
    """Sums the new work that upstreams got more than 3 s after they began to drain."""
    late = 0
    for path in glob.glob(os.path.join(folder, "*.late")):
        with open(path) as file:
            late += int(file.read().strip() or 0)
    return late


def is_unrepeatable(body):
    """Callers mark every third request as one that must not run twice."""
    return int(body.rsplit("-", 1)[1]) % 3 == 0


def check(folder):
    """Counts double runs, false refusals and answers to requests that never ran."""
    runs = read_runs(folder)
    outcomes = read_records(folder)
    return {
        "double_runs": sum(1 for body, n in runs.items() if n > 1 and is_unrepeatable(body)),
        "false_not_run": sum(1 for body in outcomes["not_run"] if runs[body] > 0),
        "late_work": read_late_work(folder),
        "answers_without_run": sum(1 for body in outcomes["answered"] if runs[body] == 0),
    }
