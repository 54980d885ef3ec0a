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

var update = flag.Bool("update", false, "write the golden files anew: the command line was changed on purpose")

// compare compares lines by name with a golden file.
func compare(t *testing.T, file string, got map[string][]string) {
	t.Helper()
	if *update {
		var b bytes.Buffer
		e := json.NewEncoder(&b)
		e.SetEscapeHTML(false)
		e.SetIndent("", " ")
		if err := e.Encode(got); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, b.Bytes(), 0o644); err != nil {
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
			t.Errorf("%s is gone", name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(got)) {
		if !reflect.DeepEqual(got[name], want[name]) {
			t.Errorf("%s is\n%s\nwas\n%s", name, strings.Join(got[name], "\n"), strings.Join(want[name], "\n"))
		}
	}
}

// Scripts of operators use the verbs and flags, and read what they say of themselves.
func TestCommandLineStays(t *testing.T) {
	// they are shown as defaults
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
	walk = func(c *cobra.Command) {
		lines := []string{"use: " + c.UseLine(), "short: " + c.Short}
		add := func(name, text string) {
			if text != "" {
				lines = append(lines, name+": "+text)
			}
		}
		add("long", c.Long)
		add("example", c.Example)
		add("aliases", strings.Join(c.Aliases, " "))
		add("deprecated", c.Deprecated)
		if c.Hidden {
			lines = append(lines, "hidden")
		}
		c.LocalFlags().VisitAll(func(f *pflag.Flag) {
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
		got[c.CommandPath()] = lines
		for _, x := range c.Commands() {
			walk(x)
		}
	}
	walk(rootCommand())
	compare(t, "testdata/commands.json", got)
}

// The list of settings, as it is printed, and as JSON.
func TestSettingsStay(t *testing.T) {
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
	compare(t, "testdata/settings.json", got)
}

// The file of ends that `dewlift audit verify` keeps, and a setting as JSON has it.
func TestFilesStay(t *testing.T) {
	for _, x := range []struct {
		v    any
		want string
	}{
		{&chainEnd{Number: 7, Code: []byte("code")}, `{"number":7,"code":"Y29kZQ=="}`},
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
		raw, err := json.Marshal(x.v)
		if err != nil || string(raw) != x.want {
			t.Errorf("%+v is written as %s, was %s (%v)", x.v, raw, x.want, err)
		}
		read := reflect.New(reflect.TypeOf(x.v).Elem()).Interface()
		if err := json.Unmarshal([]byte(x.want), read); err != nil || !reflect.DeepEqual(read, x.v) {
			t.Errorf("%s is read as %+v (%v)", x.want, read, err)
		}
	}
}
