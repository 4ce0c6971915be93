package router

// requestTable holds the requests that have been accepted and have no final response yet.
type requestTable struct {
	byClient  map[ClientID]map[int32]*inFlightRequest // by client and sequence number
	byID      map[RequestID]*inFlightRequest
	count     int
	bodyBytes int // total size, in bytes, of the bodies of all requests in flight
}

func newRequestTable() requestTable {
	return requestTable{
		byClient: map[ClientID]map[int32]*inFlightRequest{},
		byID:     map[RequestID]*inFlightRequest{},
	}
}

// find returns the request of a client with a sequence number, or nil if there is none.
func (table *requestTable) find(client ClientID, seq int32) *inFlightRequest {
	return table.byClient[client][seq]
}

// ofClient returns a client's requests, ordered by sequence number.
func (table *requestTable) ofClient(client ClientID) []*inFlightRequest {
	requests := table.byClient[client]
	ordered := make([]*inFlightRequest, 0, len(requests))
	for _, seq := range sortedKeys(requests) {
		ordered = append(ordered, requests[seq])
	}
	return ordered
}

// all returns the requests of all clients, ordered by client and sequence number.
func (table *requestTable) all() []*inFlightRequest {
	ordered := make([]*inFlightRequest, 0, table.count)
	for _, client := range sortedKeys(table.byClient) {
		ordered = append(ordered, table.ofClient(client)...)
	}
	return ordered
}

func (table *requestTable) add(request *inFlightRequest) {
	if table.byClient[request.client] == nil {
		table.byClient[request.client] = map[int32]*inFlightRequest{}
	}
	table.byClient[request.client][request.seq] = request
	table.byID[request.received.ID] = request
	table.count++
	table.bodyBytes += len(request.received.Body)
}

// remove removes a request and drops its body, which attempts in flight would otherwise keep in memory.
func (table *requestTable) remove(request *inFlightRequest) {
	table.count--
	table.bodyBytes -= len(request.received.Body)
	request.received.Body = nil
	delete(table.byID, request.received.ID)
	delete(table.byClient[request.client], request.seq)
	if len(table.byClient[request.client]) == 0 {
		delete(table.byClient, request.client)
	}
}
