"""Compares the outcomes recorded by callers with the requests recorded by upstreams."""

import collections
import glob
import os


def read_runs(folder):
    """Returns the number of runs of each request body, over all upstreams."""
    runs = collections.Counter()
    for path in glob.glob(os.path.join(folder, "*.runs")):
        with open(path) as file:
            runs.update(line.strip() for line in file if line.strip())
    return runs


def read_records(folder):
    """Returns the request bodies recorded by callers, grouped by outcome."""
    outcomes = collections.defaultdict(set)
    for path in glob.glob(os.path.join(folder, "*.record")):
        with open(path) as file:
            for line in file:
                fields = line.split()
                if len(fields) == 2:
                    outcomes[fields[0]].add(fields[1])
    return outcomes


def read_late_work(folder):
    """Returns the amount of new work that upstreams received more than 3 s after the start of their drain."""
    late = 0
    for path in glob.glob(os.path.join(folder, "*.late")):
        with open(path) as file:
            late += int(file.read().strip() or 0)
    return late


def is_non_idempotent(body):
    """Returns whether the request is non-idempotent; lw-caller sends every third request so."""
    return int(body.rsplit("-", 1)[1]) % 3 == 0


def check(folder):
    """Returns the number of violations of each kind.

    double_runs: non-idempotent requests that ran more than once; false_not_run: requests reported as not run that
    did run; late_work: new work after a drain; answers_without_run: answers to requests that never ran.
    """
    runs = read_runs(folder)
    outcomes = read_records(folder)
    return {
        "double_runs": sum(1 for body, n in runs.items() if n > 1 and is_non_idempotent(body)),
        "false_not_run": sum(1 for body in outcomes["not_run"] if runs[body] > 0),
        "late_work": read_late_work(folder),
        "answers_without_run": sum(1 for body in outcomes["answered"] if runs[body] == 0),
    }
