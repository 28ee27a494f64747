"""Hypothesis strategies for what any program may have written to the store as valid JSON."""

from hypothesis import strategies as st

leaves = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.sampled_from([1 << 62, 1 << 63, -(1 << 63), 10**400, 10**4000, 1e308, -1e308]),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=8),
    st.sampled_from(["v" * 257, "é" * 300, "00", "-1", "f" * 20]),
)
values = st.recursive(
    leaves,
    lambda inner: (
        st.lists(inner, max_size=2) | st.dictionaries(st.text(max_size=4), inner, max_size=2)
    ),
    max_leaves=4,
)


def near(value: object) -> st.SearchStrategy:
    """Return values like ``value``, in which any part may be replaced by anything or be missing."""
    if isinstance(value, dict):
        fields = {name: near(item) for name, item in value.items()}
        return st.fixed_dictionaries({}, optional=fields) | st.just(value) | values
    if isinstance(value, list) and value:
        return st.lists(near(value[0]), max_size=3) | st.just(value) | values
    return st.just(value) | st.just(value) | values
