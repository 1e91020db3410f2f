"""Protocol between cardamomnotch processes: messages, codec, result codes."""
