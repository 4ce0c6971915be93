package testcluster

// RouterCore is the processor core on which instances run if Config.ShareCore is set.
const RouterCore = 0
