"""Bounds the objects of a frame before it is decoded."""

from typing import Final

# Frames up to this size are decoded without a check. An array of empty arrays
# takes 72 times its bytes, so such a frame takes less than 0.6 MB.
MAX_UNCHECKED_BYTES: Final = 8192
# Items of all inner arrays. Only numbers of calls come in long arrays.
MAX_INNER_ITEMS: Final = 65536
_MAJOR_SHIFT: Final = 5
_INFO_MASK: Final = 0x1F
# Major types of CBOR: integers, strings, arrays, all types without content.
_INTEGERS: Final = frozenset((0, 1))
_STRINGS: Final = frozenset((2, 3))
_ARRAY: Final = 4
_SCALARS: Final = frozenset((0, 1, 7))
# Additional information up to which it is the argument itself, and of longer
# arguments, by their length in bytes.
_MAX_SHORT_INFO: Final = 23
_SIZE_BY_INFO: Final = {24: 1, 25: 2, 26: 4, 27: 8}


def has_simple_items(encoded: bytes) -> bool:
    """Tell whether a frame is an array of scalars, strings and flat arrays.

    An inner array holds integers only. A frame of another kind may take many
    times its bytes as objects, and no frame of this system has its form.

    Parameters
    ----------
    encoded : bytes
        Bytes of the frame without its length prefix.

    Examples
    --------
    >>> import cbor2
    >>> has_simple_items(cbor2.dumps([2, 'a', [1, 2], b'body']))
    True
    >>> has_simple_items(cbor2.dumps([2, [[], []]]))
    False
    """
    try:
        return _scan(encoded)
    except IndexError:
        # An item that does not fit, or that ends behind the frame.
        return False


def _scan(encoded: bytes) -> bool:
    major, count, position = _read_item(encoded, 0)
    if major != _ARRAY or count > _MAX_SHORT_INFO:
        return False
    inner_items = 0
    for _ in range(count):
        major, argument, position = _read_item(encoded, position)
        if major in _STRINGS:
            position += argument
        elif major == _ARRAY:
            inner_items += argument
            _check_count(inner_items)
            position = _skip_integers(encoded, position, argument)
        elif major not in _SCALARS:
            return False
    return position == len(encoded)


def _check_count(inner_items: int) -> None:
    if inner_items > MAX_INNER_ITEMS:
        raise IndexError('too many items in inner arrays')


def _read_item(encoded: bytes, position: int) -> tuple[int, int, int]:
    """Return major type, argument and the position behind the argument.

    An item of unknown length has no major type of its own here.
    """
    first = encoded[position]
    info = first & _INFO_MASK
    position += 1
    if info <= _MAX_SHORT_INFO:
        return first >> _MAJOR_SHIFT, info, position
    size = _SIZE_BY_INFO.get(info)
    if size is None:
        return -1, 0, position
    argument = int.from_bytes(encoded[position : position + size], 'big')
    return first >> _MAJOR_SHIFT, argument, position + size


def _skip_integers(encoded: bytes, position: int, count: int) -> int:
    for _ in range(count):
        major, _argument, position = _read_item(encoded, position)
        if major not in _INTEGERS:
            raise IndexError('an inner array holds more than integers')
    return position
