package proxy

// BatchSize exports batchSize to tests.
const BatchSize = batchSize
