package main

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"text/template"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/reflect/protoreflect"

	"dewlift/settings"
)

// settingDescription is a setting as it is shown; its tags are the output of --json.
type settingDescription struct {
	Name    string  `json:"name"`
	Default string  `json:"default"`
	Switch  bool    `json:"switch,omitempty"` // true or false
	Min     float64 `json:"min"`
	Max     float64 `json:"max"`
	Does    string  `json:"does"`
	More    string  `json:"more,omitempty"`
	Less    string  `json:"less,omitempty"`
}

// Range returns the values that the setting may have, in words.
func (d settingDescription) Range() string {
	if d.Switch {
		return "true or false"
	}
	return fmt.Sprintf("%v to %v", d.Min, d.Max)
}

// allSettings describes the operators' settings.
func allSettings() (out []settingDescription) {
	for _, s := range settings.OperatorSettings() {
		out = append(out, settingDescription{
			Name:    s.Name,
			Default: s.Default(),
			Switch:  s.Kind == protoreflect.BoolKind,
			Min:     s.About.GetMin(),
			Max:     s.About.GetMax(),
			Does:    s.About.GetDoes(),
			More:    s.About.GetMore(),
			Less:    s.About.GetLess(),
		})
	}
	return out
}

// settingsPage is docs/settings.md.
var settingsPage = template.Must(template.New("settings").Parse("# Own settings\n\n" +
	"Written by `dewlift settings --markdown` from `proto/tuning.proto`. All are optional; " +
	"`--tuning FILE` names a file in protobuf text format.\n\n" +
	"| setting | default | range | what it does | more of it | less of it |\n| --- | --- | --- | --- | --- | --- |\n" +
	"{{range .}}| `{{.Name}}` | {{.Default}} | {{.Range}} | {{.Does}} | {{.More}} | {{.Less}} |\n{{end}}"))

func settingsCommand() *cobra.Command {
	var markdown, asJSON bool
	cmd := &cobra.Command{
		Use: "settings", Short: "List the operators' own settings, their defaults and ranges", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := cmd.OutOrStdout()
			switch {
			case markdown:
				return settingsPage.Execute(out, allSettings())
			case asJSON:
				return json.NewEncoder(out).Encode(allSettings())
			}
			table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
			for _, d := range allSettings() {
				printf(table, "%s\t%s\t%s\t%s\n", d.Name, d.Default, d.Range(), d.Does)
			}
			return table.Flush()
		},
	}
	cmd.Flags().BoolVar(&markdown, "markdown", false, "as docs/settings.md")
	cmd.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return cmd
}
