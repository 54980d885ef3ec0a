package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

var update = flag.Bool("update", false, "update the golden files after an intended change of the command line")

// compareGolden compares named lists of lines with a golden file, which records what operators' scripts rely on.
func compareGolden(t *testing.T, file string, got map[string][]string) {
	t.Helper()
	if *update {
		var encoded bytes.Buffer
		encoder := json.NewEncoder(&encoded)
		encoder.SetEscapeHTML(false)
		encoder.SetIndent("", " ")
		if err := encoder.Encode(got); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, encoded.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	raw, err := os.ReadFile(file)
	want := map[string][]string{}
	if err != nil || json.Unmarshal(raw, &want) != nil {
		t.Fatalf("%s: %v", file, err)
	}
	for _, name := range slices.Sorted(maps.Keys(want)) {
		if got[name] == nil {
			t.Errorf("%s is missing", name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(got)) {
		if !reflect.DeepEqual(got[name], want[name]) {
			t.Errorf("%s is\n%s\nwant\n%s", name, strings.Join(got[name], "\n"), strings.Join(want[name], "\n"))
		}
	}
}

// Operators' scripts use the verbs and flags and read their descriptions, so none may change unnoticed.
func TestCommandLineIsUnchanged(t *testing.T) {
	// The values of these variables would appear as defaults of flags.
	for _, name := range []string{
		"ACCESS",
		"TLS",
		"LANES",
		"BOOKING",
		"TUNING",
		"KEY",
		"CA",
		"CERTIFICATE",
		"CERTIFICATE_KEY",
	} {
		t.Setenv("DEWLIFT_"+name, "")
	}
	got := map[string][]string{}
	var walk func(c *cobra.Command)
	walk = func(cmd *cobra.Command) {
		lines := []string{"use: " + cmd.UseLine(), "short: " + cmd.Short}
		add := func(name, text string) {
			if text != "" {
				lines = append(lines, name+": "+text)
			}
		}
		add("long", cmd.Long)
		add("example", cmd.Example)
		add("aliases", strings.Join(cmd.Aliases, " "))
		add("deprecated", cmd.Deprecated)
		if cmd.Hidden {
			lines = append(lines, "hidden")
		}
		cmd.LocalFlags().VisitAll(func(f *pflag.Flag) {
			lines = append(
				lines,
				fmt.Sprintf(
					"--%s -%s %s, %q by default, %q without a value: %s",
					f.Name,
					f.Shorthand,
					f.Value.Type(),
					f.DefValue,
					f.NoOptDefVal,
					f.Usage,
				),
			)
		})
		got[cmd.CommandPath()] = lines
		for _, child := range cmd.Commands() {
			walk(child)
		}
	}
	walk(rootCommand())
	compareGolden(t, "testdata/commands.json", got)
}

// The list of settings must not change unnoticed, neither as text nor as JSON.
func TestSettingsOutputIsUnchanged(t *testing.T) {
	got := map[string][]string{}
	for name, args := range map[string][]string{
		"list":    {"settings"},
		"json":    {"settings", "--json"},
		"version": {"version"},
	} {
		out, err := runCommand(args...)
		if err != nil {
			t.Fatal(err)
		}
		got[name] = strings.Split(strings.TrimSuffix(out, "\n"), "\n")
	}
	compareGolden(t, "testdata/settings.json", got)
}

// The formats of the file of chain ends that `dewlift audit verify` stores, and of a setting in JSON, must not change.
func TestFileFormatsAreUnchanged(t *testing.T) {
	for _, test := range []struct {
		value any
		want  string
	}{
		{&chainEnd{Number: 7, MAC: []byte("code")}, `{"number":7,"code":"Y29kZQ=="}`},
		{&settingDescription{}, `{"name":"","default":"","min":0,"max":0,"does":""}`},
		{
			&settingDescription{
				Name:    "n",
				Default: "d",
				Switch:  true,
				Min:     1,
				Max:     2.5,
				Does:    "does",
				More:    "more",
				Less:    "less",
			},
			`{"name":"n","default":"d","switch":true,"min":1,"max":2.5,"does":"does","more":"more","less":"less"}`,
		},
	} {
		raw, err := json.Marshal(test.value)
		if err != nil || string(raw) != test.want {
			t.Errorf("%+v is encoded as %s, want %s (%v)", test.value, raw, test.want, err)
		}
		read := reflect.New(reflect.TypeOf(test.value).Elem()).Interface()
		if err := json.Unmarshal([]byte(test.want), read); err != nil || !reflect.DeepEqual(read, test.value) {
			t.Errorf("%s is decoded as %+v (%v)", test.want, read, err)
		}
	}
}
