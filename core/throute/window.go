package throute

// Window bounds the requests that this VM has in flight to one service. It
// grows while targets take the work and shrinks when they shed it, so that VMs
// which know nothing of each other share few slots. The zero Window holds one.
type Window struct {
	size float64
}

const (
	windowGrowth = 0.25 // requests per window of successes
	windowShrink = 0.7
	windowMin    = 1.0
)

// NewWindow returns a window of the given size.
func NewWindow(size float64) Window { return Window{size: max(size, windowMin)} }

// Size returns how many requests may be in flight.
func (w Window) Size() int { return int(max(w.size, windowMin)) }

// WithSuccess returns the window after a request that was answered while the
// window was full, bounded by the slots there are.
func (w Window) WithSuccess(slots int) Window {
	size := max(w.size, windowMin)
	w.size = max(windowMin, min(size+windowGrowth/size, float64(slots)))
	return w
}

// WithShed returns the window after a target shed a request.
func (w Window) WithShed() Window {
	w.size = max(max(w.size, windowMin)*windowShrink, windowMin)
	return w
}
