"""Expert maps of rank groups: planning a map and switching to it."""
