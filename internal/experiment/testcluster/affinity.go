package testcluster

// RouterCore is the core that instances share if Config.ShareCore is set.
const RouterCore = 0
