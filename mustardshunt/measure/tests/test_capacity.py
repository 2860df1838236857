"""Totals of the capacity command follow from its slopes."""

import dataclasses

import pytest

from mustardshunt.measure.capacity._all_estimates import (
    join_seconds,
    list_estimates,
)
from mustardshunt.measure.capacity._design_size import DesignSize, Limits
from mustardshunt.measure.capacity._grant_traffic import measure_grant_traffic
from mustardshunt.measure.capacity._measurements import (
    GrantTrafficCost,
    Measurements,
    MemoryCosts,
    Mesh,
    MessageSizes,
    ProcessMeasurements,
    ProcessorCosts,
)
from mustardshunt.measure.capacity._mesh import measure_mesh
from mustardshunt.measure.capacity._report import format_estimates
from mustardshunt.measure.capacity._sizes import measure_sizes

SIZE = DesignSize()


def fill(slope, **given):
    """Return slopes that are 1 but for those given."""
    names = [field.name for field in dataclasses.fields(slope)]
    return slope(**{name: given.get(name, 1) for name in names})


def make_asks(messages=0.0):
    return tuple(
        GrantTrafficCost(found.name, 21, 100, messages, 10 * messages, 0.0)
        for found in SIZE.classes
    )


SLOPES = Measurements(
    fill(MessageSizes, ping=10, share_list=1000),
    Mesh(18.0, 6.0, 5),
    make_asks(1.0),
    make_asks(),
    fill(ProcessorCosts, join=0, join_key=0.001),
    fill(MemoryCosts, member=1000),
    fill(ProcessMeasurements, memory_alone=50),
)


def find(slopes, role, name, size=SIZE):
    return next(
        figure
        for figure in list_estimates(size, slopes, Limits())
        if (figure.role, figure.name) == (role, name)
    )


def test_pings_follow_from_links_and_size():
    """Guards against a total that leaves out headers or links."""
    assert find(SLOPES, 'any node', 'pings').total == 18 * (10 + 54)


def test_asks_are_spread_over_all_nodes():
    """Guards against charging each node with the fleet's requests."""
    found = find(SLOPES, 'any node', 'asks, near')
    assert found.total == pytest.approx(SIZE.requests * (10 + 54) / 940)
    assert not find(SLOPES, 'any node', 'asks, wide').total


def test_sums_hold_all_their_parts():
    """Guards against a part that is shown but not added."""
    without = find(SLOPES, 'any node', 'control without asks').total
    asks = find(SLOPES, 'any node', 'asks, near').total
    both = find(SLOPES, 'any node', 'control with asks, near').total
    assert both == pytest.approx(without + asks)
    grown = dataclasses.replace(
        SLOPES,
        memory=dataclasses.replace(SLOPES.memory, member=2000),
    )
    before = find(SLOPES, 'any node', 'memory').total
    after = find(grown, 'any node', 'memory').total
    assert after - before == pytest.approx(1000 * 940 / 1e6)


def test_sheet_follows_from_keys_and_hops():
    """Guards against a time that does not grow with the flood."""
    size = dataclasses.replace(SIZE, keys=100)
    assert join_seconds(size, SLOPES) == pytest.approx(0.1 + 2000 + 460)


def test_table_names_what_is_over_its_limit():
    """Guards against a figure over its limit that reads as if it were not."""
    lines = list(format_estimates(list_estimates(SIZE, SLOPES, Limits())))
    memory = next(line for line in lines if '| memory |' in line)
    assert 'over' not in memory
    asks = next(line for line in lines if 'control with asks, near' in line)
    assert '3000, over by' in asks


def test_slopes_in_virtual_time_repeat():
    """Guards against figures that nobody can reproduce."""
    assert measure_sizes(SIZE) == measure_sizes(SIZE)
    assert measure_mesh(SIZE) == measure_mesh(SIZE)
    size = dataclasses.replace(SIZE, classes=SIZE.classes[-1:])
    first, second = (
        dataclasses.replace(measure_grant_traffic(size, 21)[0], processor=0.0)
        for _ in range(2)
    )
    assert first == second
    assert first.messages > 1
