"""Decisions of cardamomnotch, free of I/O, clocks and global randomness."""
