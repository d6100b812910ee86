package sock

import "time"

// Past is a deadline that ends a pending read or write.
var Past = time.Unix(1, 0)
