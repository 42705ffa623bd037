"""What the machine itself did during a bench."""

import os
import pathlib
import threading


def processor_times():
    """(busy, all) of all processors since the start, in ticks."""
    fields = [int(field) for field in pathlib.Path("/proc/stat").read_text()
              .splitlines()[0].split()[1:9]]
    idle = fields[3] + fields[4]
    return sum(fields) - idle, sum(fields)


class ProcessorWatch:
    """Samples how busy the processors are, while used as a context."""

    INTERVAL_SECONDS = 2.0

    def __init__(self):
        self.samples = []
        self._done = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *_):
        self._done.set()
        self._thread.join()

    def _run(self):
        before = processor_times()
        while not self._done.wait(self.INTERVAL_SECONDS):
            now = processor_times()
            busy, whole = now[0] - before[0], now[1] - before[1]
            self.samples.append(busy / whole if whole else 0)
            before = now

    def figures(self):
        samples = self.samples or [0.0]
        return {"cores": os.cpu_count(),
                "mean_busy": round(sum(samples) / len(samples), 3),
                "most_busy": round(max(samples), 3),
                "samples_over_60_percent":
                    sum(sample > 0.6 for sample in samples),
                "samples": len(samples)}
