package enginefake

import (
	"encoding/json"
	"strings"
)

// The answers have the widely used JSON format that callers' clients expect.
type choice struct {
	Index        int     `json:"index"`
	Delta        *text   `json:"delta,omitempty"`
	Message      *text   `json:"message,omitempty"`
	Text         *string `json:"text,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type text struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	Completion int `json:"completion_tokens"`
}

type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// streamChunk returns one event of a streamed answer.
func streamChunk(g *generateRequest, token, finish string) []byte {
	c := choice{}
	if finish != "" {
		c.FinishReason = &finish
	}
	out := answer{ID: g.id, Model: g.Model}
	if g.chat {
		out.Object, c.Delta = "chat.completion.chunk", &text{Content: token}
	} else {
		out.Object, c.Text = "text_completion", &token
	}
	out.Choices = []choice{c}
	data, _ := json.Marshal(out)
	return data
}

// completeAnswer returns an answer that is not streamed.
func completeAnswer(g *generateRequest, content string) []byte {
	finish := "length"
	c := choice{FinishReason: &finish}
	out := answer{ID: g.id, Model: g.Model, Usage: &usage{Completion: g.MaxTokens - g.from}}
	if g.chat {
		out.Object, c.Message = "chat.completion", &text{Role: "assistant", Content: content}
	} else {
		out.Object, c.Text = "text_completion", &content
	}
	out.Choices = []choice{c}
	data, _ := json.Marshal(out)
	return data
}

// JoinStream joins the tokens of an event stream as a caller's client does, and reports
// whether the stream ended with its final marker.
func JoinStream(body string) (text string, complete bool) {
	for line := range strings.Lines(body) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var part answer
		if json.Unmarshal([]byte(data), &part) == nil && len(part.Choices) == 1 && part.Choices[0].Delta != nil {
			text += part.Choices[0].Delta.Content
		}
	}
	return text, false
}
