"""Messages, codec and result codes between cardamomnotch processes."""
