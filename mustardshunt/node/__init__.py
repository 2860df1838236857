"""A node: its components, how they are connected, and its life cycle."""

from mustardshunt.node._assembly import make_node
from mustardshunt.node._node import Node, NodeComponents
from mustardshunt.node._run import run_node

__all__ = ['Node', 'NodeComponents', 'make_node', 'run_node']
