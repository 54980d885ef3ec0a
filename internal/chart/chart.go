// Package chart embeds plots into self-contained HTML pages.
package chart

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"html/template"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
)

// Size of a rendered plot.
const (
	width  = 8 * vg.Inch
	height = 4 * vg.Inch
)

// PNGDataURL renders a plot as a PNG image and returns it as a data URL.
func PNGDataURL(p *plot.Plot) (template.URL, error) {
	image, err := p.WriterTo(width, height, "png")
	if err != nil {
		return "", fmt.Errorf("render plot: %w", err)
	}
	var encoded bytes.Buffer
	if _, err := image.WriteTo(&encoded); err != nil {
		return "", fmt.Errorf("encode plot: %w", err)
	}
	return template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(encoded.Bytes())), nil
}
