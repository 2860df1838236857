"""The estimates of the capacity command must follow from measurements."""

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


def fill(cost_type, **values):
    """Return measurements that are 1 except for the given values."""
    names = [field.name for field in dataclasses.fields(cost_type)]
    return cost_type(**{name: values.get(name, 1) for name in names})


def make_grant_traffic_costs(messages=0.0):
    return tuple(
        GrantTrafficCost(
            organisation_class.name, 21, 100, messages, 10 * messages, 0.0
        )
        for organisation_class in SIZE.classes
    )


MEASUREMENTS = Measurements(
    fill(MessageSizes, ping=10, share_list=1000),
    Mesh(18.0, 6.0, 5),
    make_grant_traffic_costs(1.0),
    make_grant_traffic_costs(),
    fill(ProcessorCosts, join=0, join_key=0.001),
    fill(MemoryCosts, member=1000),
    fill(ProcessMeasurements, memory_alone=50),
)


def find_estimate(measurements, role, name, size=SIZE):
    return next(
        estimate
        for estimate in list_estimates(size, measurements, Limits())
        if (estimate.role, estimate.name) == (role, name)
    )


def test_ping_traffic_counts_links_and_headers():
    """The ping traffic must count all links, and the header of each frame."""
    assert find_estimate(MEASUREMENTS, 'any node', 'pings').total == 18 * (
        10 + 54
    )


def test_token_requests_are_divided_by_nodes():
    """A node must be charged with its part of the token requests only.

    The requests of all nodes are divided by the number of nodes.
    """
    few_entry_nodes = find_estimate(
        MEASUREMENTS, 'any node', 'token requests, few entry nodes'
    )
    assert few_entry_nodes.total == pytest.approx(
        SIZE.requests * (10 + 54) / 940
    )
    assert not find_estimate(
        MEASUREMENTS, 'any node', 'token requests, all nodes'
    ).total


def test_sums_include_all_parts():
    """Each part that the table lists must be included in its sum."""
    without_requests = find_estimate(
        MEASUREMENTS, 'any node', 'control without token requests'
    ).total
    requests = find_estimate(
        MEASUREMENTS, 'any node', 'token requests, few entry nodes'
    ).total
    both = find_estimate(
        MEASUREMENTS, 'any node', 'control with token requests, few entry nodes'
    ).total
    assert both == pytest.approx(without_requests + requests)
    enlarged = dataclasses.replace(
        MEASUREMENTS,
        memory=dataclasses.replace(MEASUREMENTS.memory, member=2000),
    )
    before = find_estimate(MEASUREMENTS, 'any node', 'memory').total
    after = find_estimate(enlarged, 'any node', 'memory').total
    assert after - before == pytest.approx(1000 * 940 / 1e6)


def test_activation_time_grows_with_sheet():
    """The activation time must count all entries of the sheet."""
    size = dataclasses.replace(SIZE, keys=100)
    assert join_seconds(size, MEASUREMENTS) == pytest.approx(0.1 + 2000 + 460)


def test_table_marks_estimates_over_limit():
    """The table must mark each estimate that exceeds its limit."""
    lines = list(format_estimates(list_estimates(SIZE, MEASUREMENTS, Limits())))
    memory = next(line for line in lines if '| memory |' in line)
    assert 'over' not in memory
    control = next(
        line
        for line in lines
        if 'control with token requests, few entry nodes' in line
    )
    assert '3000, over by' in control


def test_simulated_measurements_are_repeatable():
    """Measurements in virtual time must be the same in each run."""
    assert measure_sizes(SIZE) == measure_sizes(SIZE)
    assert measure_mesh(SIZE) == measure_mesh(SIZE)
    size = dataclasses.replace(SIZE, classes=SIZE.classes[-1:])
    first, second = (
        dataclasses.replace(measure_grant_traffic(size, 21)[0], processor=0.0)
        for _ in range(2)
    )
    assert first == second
    assert first.messages > 1
