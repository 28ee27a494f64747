"""Metric collectors of ``aioprometheus`` with less work for each recorded value.

The library checks the label names and serializes them to JSON for each value. The collectors here
buffer the values by their labels, and write them to the library's collectors when they are read.
"""

import aioprometheus

Labels = dict[str, str]
# Labels in the order of the call. One series has several keys if its labels come in several orders.
_Key = tuple[tuple[str, str], ...]


class _BufferedCollector:
    """Mixin for counters and gauges that flushes buffered values before they are read."""

    def get_value(self, labels: Labels) -> float:
        """Return the value of a series; raise ``KeyError`` if there is none."""
        self._flush()
        return super().get_value(labels)

    def get_all(self) -> list[tuple[Labels, float]]:
        """Return the labels and the value of each series."""
        self._flush()
        return super().get_all()

    def _flush(self) -> None:
        raise NotImplementedError


class Counter(_BufferedCollector, aioprometheus.Counter):
    """A counter that buffers the sums added since the last read."""

    def __init__(self, *arguments, **options) -> None:
        super().__init__(*arguments, **options)
        self._unflushed: dict[_Key, float] = {}

    def add(self, labels: Labels, value: float) -> None:
        """Add ``value``; raise ``ValueError`` if it is negative."""
        key = tuple(labels.items())
        pending = self._unflushed.get(key)
        if pending is None:
            self._check_labels(labels)
            pending = 0
        if value < 0:
            raise ValueError("Counters can't decrease")
        self._unflushed[key] = pending + value

    def _flush(self) -> None:
        unflushed, self._unflushed = self._unflushed, {}
        for key, value in unflushed.items():
            super().add(dict(key), value)


class Gauge(_BufferedCollector, aioprometheus.Gauge):
    """A gauge that buffers the values set since the last read."""

    def __init__(self, *arguments, **options) -> None:
        super().__init__(*arguments, **options)
        self._unflushed: dict[_Key, float] = {}

    def set(self, labels: Labels, value: float) -> None:
        """Set the gauge."""
        key = tuple(labels.items())
        if key not in self._unflushed:
            self._check_labels(labels)
        else:
            # Move the key to the end: if a series is set under several label orders, the last value
            # set has to win.
            del self._unflushed[key]
        self._unflushed[key] = value

    def _flush(self) -> None:
        unflushed, self._unflushed = self._unflushed, {}
        for key, value in unflushed.items():
            self.set_value(dict(key), value)


class Histogram(aioprometheus.Histogram):
    """A histogram that caches the series of each combination of labels."""

    def __init__(self, *arguments, **options) -> None:
        super().__init__(*arguments, **options)
        self._series: dict[_Key, aioprometheus.histogram.Histogram] = {}

    def add(self, labels: Labels, value: float) -> None:
        """Add an observation."""
        key = tuple(labels.items())
        series = self._series.get(key)
        if series is not None:
            series.observe(float(value))
            return
        super().add(labels, value)
        self._series[key] = self.get_value(labels)

    observe = add
