"""Runtime shared by the processes: settings, servers, tasks and logging."""
