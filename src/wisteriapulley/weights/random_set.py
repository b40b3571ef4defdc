"""A set with a random pick in constant time."""


class RandomSet:
    """Set of chunk indexes with a random pick in constant time."""

    def __init__(self):
        self.items: list[int] = []
        self.positions: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self.items)

    def add(self, item: int) -> None:
        """Add an item that is not in it."""
        self.positions[item] = len(self.items)
        self.items.append(item)

    def discard(self, item: int) -> None:
        """Remove an item if it is in it."""
        place = self.positions.pop(item, None)
        if place is None:
            return
        last = self.items.pop()
        if last != item:
            self.items[place] = last
            self.positions[last] = place

    def move(self, item: int, place: int) -> None:
        """Swap an item to a place."""
        here = self.positions[item]
        other = self.items[place]
        self.items[here], self.items[place] = other, item
        self.positions[other], self.positions[item] = here, place
