"""The library's collectors, with less to do for each value that is recorded.

The library checks the names of labels and renders them as JSON for each value. Here values are kept
by the labels as they were given, and are handed to the library when they are read.
"""

import aioprometheus

Labels = dict[str, str]
# Labels as they were given; the same ones in another order are another key of the same series.
_Key = tuple[tuple[str, str], ...]


class _HandedOverWhenRead:
    """What counters and gauges share: the library gets the values before they are read."""

    def get_value(self, labels: Labels) -> float:
        """Return the value of a series; raise ``KeyError`` if there is none."""
        self._hand_over()
        return super().get_value(labels)

    def get_all(self) -> list[tuple[Labels, float]]:
        """Return the labels and the value of each series."""
        self._hand_over()
        return super().get_all()

    def _hand_over(self) -> None:
        raise NotImplementedError


class Counter(_HandedOverWhenRead, aioprometheus.Counter):
    """A counter that adds up what was added since it was read."""

    def __init__(self, *arguments, **options) -> None:
        super().__init__(*arguments, **options)
        self._added: dict[_Key, float] = {}

    def add(self, labels: Labels, value: float) -> None:
        """Add ``value``, which may not be negative."""
        key = tuple(labels.items())
        added = self._added.get(key)
        if added is None:
            self._check_labels(labels)
            added = 0
        if value < 0:
            raise ValueError("Counters can't decrease")
        self._added[key] = added + value

    def _hand_over(self) -> None:
        added, self._added = self._added, {}
        for key, value in added.items():
            super().add(dict(key), value)


class Gauge(_HandedOverWhenRead, aioprometheus.Gauge):
    """A gauge that keeps what was set since it was read."""

    def __init__(self, *arguments, **options) -> None:
        super().__init__(*arguments, **options)
        self._set: dict[_Key, float] = {}

    def set(self, labels: Labels, value: float) -> None:
        """Set the gauge."""
        key = tuple(labels.items())
        if key not in self._set:
            self._check_labels(labels)
        else:
            # The last one of several orders of the same labels holds.
            del self._set[key]
        self._set[key] = value

    def _hand_over(self) -> None:
        given, self._set = self._set, {}
        for key, value in given.items():
            self.set_value(dict(key), value)


class Histogram(aioprometheus.Histogram):
    """A histogram that finds the series of labels that it has seen at once."""

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
