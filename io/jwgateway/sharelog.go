package jwgateway

import (
	"strconv"

	tally "github.com/uber-go/tally/v4"

	"jujubewheel/core/jwledger"
	"jujubewheel/io/jwlog"
	"jujubewheel/io/jwmeter"
)

// addShare adds to a log record on what a rejection for the request's share rests.
func (q *request) addShare(d *jwlog.Decision) {
	r := q.share.rejection
	if r.Reason == "" {
		return
	}
	const thousandth = 1000
	d.Share = &jwlog.Share{
		Region: q.share.region, Level: jwledger.Level(q.priority), Asked: int64(thousandth * r.Asked), Granted: int64(thousandth * r.Granted),
		Total: int64(thousandth * r.Total), Room: int64(thousandth * r.Room), Waiting: int64(thousandth * r.Waiting), Age: r.Age,
	}
}

// countShareRejection counts a request that was rejected for its share.
func (m *metrics) countShareRejection(service string, key jwledger.Key) {
	k := [3]string{service, strconv.Itoa(key.Level), key.Workspace}
	m.mu.Lock()
	c := m.shareRejections[k]
	if c == nil {
		if len(m.shareRejections) >= maxWorkspaces {
			k[2] = otherWorkspaces
		}
		if c = m.shareRejections[k]; c == nil {
			if m.shareRejections == nil {
				m.shareRejections = make(map[[3]string]tally.Counter)
			}
			c = m.meter.Counter("share_rejections_total", jwmeter.Tags{"service": k[0], "level": k[1], "workspace": k[2]})
			m.shareRejections[k] = c
		}
	}
	m.mu.Unlock()
	c.Inc(1)
}
