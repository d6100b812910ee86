package sock

import "time"

// Past is a deadline that ends a pending read.
var Past = time.Unix(1, 0)
