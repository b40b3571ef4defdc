"""Set with a random choice in constant time."""


class RandomSet:
    """Set of chunk indexes with a random choice in constant time.

    The caller draws an index into `items`.
    """

    def __init__(self):
        self.items: list[int] = []
        self.positions: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self.items)

    def add(self, item: int) -> None:
        """Add an item, which must not be in the set."""
        self.positions[item] = len(self.items)
        self.items.append(item)

    def discard(self, item: int) -> None:
        """Remove an item if it is in the set."""
        position = self.positions.pop(item, None)
        if position is None:
            return
        last = self.items.pop()
        if last != item:
            self.items[position] = last
            self.positions[last] = position

    def move(self, item: int, position: int) -> None:
        """Move an item to a position, swapping it with the item there."""
        old_position = self.positions[item]
        other = self.items[position]
        self.items[old_position], self.items[position] = other, item
        self.positions[other], self.positions[item] = old_position, position
