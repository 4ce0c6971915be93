package testcluster

// RouterCore is the core that instances share where a Config has ShareCore.
const RouterCore = 0
