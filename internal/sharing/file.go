package sharing

import (
	"errors"
	"fmt"
	"net/netip"

	"chalkferry/internal/strict"
)

// memberFile is the content of the file that serve --fleet reads.
type memberFile struct {
	Name        string            `toml:"name"`
	Region      string            `toml:"region"`
	Zone        string            `toml:"zone"`
	Listen      string            `toml:"listen"`
	Aggregators []aggregatorEntry `toml:"aggregators"`
	Status      string            `toml:"status"`

	ReportInterval strict.Span `toml:"report_interval"`
	Freshness      strict.Span `toml:"freshness"`
	Decay          strict.Span `toml:"decay"`
	Keys           int         `toml:"keys"`
	ChangeShare    float64     `toml:"change_share"`
}

type aggregatorEntry struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
}

// aggregatorFile is the content of the file that the command aggregate reads.
type aggregatorFile struct {
	Name   string      `toml:"name"`
	Region string      `toml:"region"`
	Listen string      `toml:"listen"`
	Peers  []peerEntry `toml:"peers"`
	Status string      `toml:"status"`

	DigestInterval    strict.Span `toml:"digest_interval"`
	ExchangeInterval  strict.Span `toml:"exchange_interval"`
	HeartbeatInterval strict.Span `toml:"heartbeat_interval"`
	Freshness         strict.Span `toml:"freshness"`
	Decay             strict.Span `toml:"decay"`
	ChangeShare       float64     `toml:"change_share"`
	Members           int         `toml:"members"`
	MemberKeys        int         `toml:"member_keys"`
	Keys              int         `toml:"keys"`
}

type peerEntry struct {
	Name    string `toml:"name"`
	Region  string `toml:"region"`
	Address string `toml:"address"`
}

// ReadMember reads and validates the file of serve --fleet. An error in the content names the line.
func ReadMember(name string) (*MemberConfig, error) {
	config := DefaultMemberConfig()
	content := memberFile{
		ReportInterval: strict.Span(config.ReportInterval),
		Freshness:      strict.Span(config.Freshness),
		Decay:          strict.Span(config.Decay),
		Keys:           config.MaxKeys,
		ChangeShare:    config.ChangeShare,
	}
	file, err := strict.Read(name, &content)
	if err != nil {
		return nil, err
	}
	addresses := addressReader{file: file}
	config.Name, config.Region, config.Zone = content.Name, content.Region, content.Zone
	config.Listen = addresses.read("listen", content.Listen)
	config.Status = addresses.readOptional("status", content.Status)
	for i, line := range content.Aggregators {
		address := addresses.read(fmt.Sprintf("aggregators[%d].address", i), line.Address)
		config.Aggregators = append(config.Aggregators, AggregatorAddress{Name: line.Name, Address: address})
	}
	config.ReportInterval = content.ReportInterval.D()
	config.Freshness, config.Decay = content.Freshness.D(), content.Decay.D()
	config.MaxKeys, config.ChangeShare = content.Keys, content.ChangeShare
	if addresses.err != nil {
		return nil, addresses.err
	}
	if err := config.Validate(); err != nil {
		return nil, withLine(file, err)
	}
	return &config, nil
}

// ReadAggregator reads and validates the file of the command aggregate. An error in the content names the line.
func ReadAggregator(name string) (*AggregatorConfig, error) {
	config := DefaultAggregatorConfig()
	content := aggregatorFile{
		DigestInterval:    strict.Span(config.DigestInterval),
		ExchangeInterval:  strict.Span(config.ExchangeInterval),
		HeartbeatInterval: strict.Span(config.HeartbeatInterval),
		Freshness:         strict.Span(config.Freshness),
		Decay:             strict.Span(config.Decay),
		ChangeShare:       config.ChangeShare,
		Members:           config.MaxMembers,
		MemberKeys:        config.MaxMemberKeys,
		Keys:              config.MaxKeys,
	}
	file, err := strict.Read(name, &content)
	if err != nil {
		return nil, err
	}
	addresses := addressReader{file: file}
	config.Name, config.Region = content.Name, content.Region
	config.Listen = addresses.read("listen", content.Listen)
	config.Status = addresses.readOptional("status", content.Status)
	for i, line := range content.Peers {
		address := addresses.read(fmt.Sprintf("peers[%d].address", i), line.Address)
		config.Peers = append(config.Peers, Peer{Name: line.Name, Region: line.Region, Address: address})
	}
	config.DigestInterval = content.DigestInterval.D()
	config.ExchangeInterval = content.ExchangeInterval.D()
	config.HeartbeatInterval = content.HeartbeatInterval.D()
	config.Freshness, config.Decay = content.Freshness.D(), content.Decay.D()
	config.ChangeShare = content.ChangeShare
	config.MaxMembers, config.MaxMemberKeys, config.MaxKeys = content.Members, content.MemberKeys, content.Keys
	if addresses.err != nil {
		return nil, addresses.err
	}
	if err := config.Validate(); err != nil {
		return nil, withLine(file, err)
	}
	return &config, nil
}

// ReadStatusAddress returns the status address from a member's or an aggregator's file. It returns an error if the file is
// neither, or has no status address.
func ReadStatusAddress(name string) (netip.AddrPort, error) {
	address := netip.AddrPort{}
	member, err := ReadMember(name)
	if err == nil {
		address = member.Status
	} else {
		aggregator, aggregatorErr := ReadAggregator(name)
		if aggregatorErr != nil {
			return address, fmt.Errorf("%s is neither a member's file nor an aggregator's: %w", name, errors.Join(err, aggregatorErr))
		}
		address = aggregator.Status
	}
	if !address.IsValid() {
		return address, fmt.Errorf("%s names no status address", name)
	}
	return address, nil
}

// addressReader parses addresses and keeps the first error, so that the caller checks once.
type addressReader struct {
	file *strict.File
	err  error
}

func (r *addressReader) read(field, text string) netip.AddrPort {
	address, err := netip.ParseAddrPort(text)
	if err != nil && r.err == nil {
		r.err = r.file.Errorf(field, "%q is not an IPv4 address and a port", text)
	}
	return address
}

func (r *addressReader) readOptional(field, text string) netip.AddrPort {
	if text == "" {
		return netip.AddrPort{}
	}
	return r.read(field, text)
}

// withLine adds the file name and line to an error of Validate.
func withLine(file *strict.File, err error) error {
	var configError *ConfigError
	if errors.As(err, &configError) {
		return file.Errorf(configError.Field, "%s", configError.Reason)
	}
	return err
}
