package proxy

// BatchSize is the size of a full batch, for tests.
const BatchSize = batchSize
