// Package chart puts plots into pages that need nothing beside themselves.
package chart

import (
	"bytes"
	"encoding/base64"
	"html/template"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
)

// PNGDataURL renders a plot as the address of an image that holds it.
func PNGDataURL(p *plot.Plot) (template.URL, error) {
	w, err := p.WriterTo(8*vg.Inch, 4*vg.Inch, "png")
	if err != nil {
		return "", err
	}
	var b bytes.Buffer
	if _, err := w.WriteTo(&b); err != nil {
		return "", err
	}
	return template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(b.Bytes())), nil
}
